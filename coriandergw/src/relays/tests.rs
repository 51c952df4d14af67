use proptest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use super::*;
use crate::relays::stream::RelayedReader;
use crate::relays::stream::write_part;

/// Reads what arrives in chunks of at most `chunk` bytes, until the end.
async fn read_all(wire: &[u8], chunk: usize) -> std::io::Result<Vec<u8>> {
    let (mut writer, reader) = tokio::io::duplex(chunk);
    let wire = wire.to_vec();
    let writing = tokio::spawn(async move {
        // The reader may stop early.
        let _ = writer.write_all(&wire).await;
    });
    let mut content = Vec::new();
    let read = RelayedReader::new(reader).read_to_end(&mut content).await;
    writing.abort();
    read.map(|_| content)
}

proptest! {
    #[test]
    fn what_is_relayed_arrives_in_order_however_it_is_split(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..300), 0..8),
        chunk in 1_usize..64,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let (wire, content) = runtime.block_on(async {
            let mut wire = Vec::new();
            for part in &parts {
                write_part(&mut wire, part).await.expect("written");
            }
            write_part(&mut wire, &[]).await.expect("written");
            (wire.clone(), read_all(&wire, chunk).await)
        });
        prop_assert_eq!(content.expect("ended in order"), parts.concat());
        // Guards against an answer that ends with its connection and looks complete when its relay
        // fails.
        let cut = runtime.block_on(read_all(&wire[..wire.len() - 1], chunk));
        prop_assert!(cut.is_err());
    }
}

#[test]
fn every_outcome_is_decoded_as_it_was_encoded() {
    for (outcome, number) in OUTCOMES {
        assert_eq!(encode_outcome(outcome), number);
        assert_eq!(decode_outcome(number), outcome);
    }
    assert_eq!(decode_outcome(99), Err(RelayError::Unreachable));
}
