//! Tests of fetching a document in pieces.

use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Timestamp;
use crate::config_fetch::PieceError;
use crate::config_fetch::generated as raw;
use crate::config_fetch::published::PIECE_MAX_BYTES;
use crate::config_fetch::published::PublishedDocuments;
use crate::config_fetch::published::SUPERSEDED_RETENTION;
use crate::config_fetch::transfer::Received;
use crate::config_fetch::transfer::Transfer;

const START: Timestamp = Timestamp(1);

/// A document that does not get shorter when it is compressed.
fn random_document(seed: u64, bytes: usize) -> Bytes {
    let mut document = vec![0; bytes];
    ChaCha8Rng::seed_from_u64(seed).fill(&mut document[..]);
    document.into()
}

fn publish(documents: &mut PublishedDocuments, version: u64, document: &Bytes, now: Timestamp) {
    documents.publish(version, document, now).expect("compressed");
}

/// Asks for one piece; returns the document if it is whole.
fn fetch(
    transfer: &mut Transfer,
    documents: &mut PublishedDocuments,
    now: Timestamp,
) -> Option<Received> {
    let piece = documents.piece(&transfer.next_request(), now);
    transfer.add(piece, 0).expect("a piece of use")
}

/// Asks for pieces until the document is whole; returns it and the number of bytes that were sent.
fn fetch_rest(transfer: &mut Transfer, documents: &mut PublishedDocuments) -> (Received, usize) {
    let mut bytes = 0;
    loop {
        let piece = documents.piece(&transfer.next_request(), START);
        bytes += piece.bytes.len();
        if let Some(received) = transfer.add(piece, 0).expect("a piece of use") {
            return (received, bytes);
        }
    }
}

#[test]
fn documents_of_any_size_arrive_as_they_were_published() {
    for size in [0, 1, 16 * 1024, 300_000, 4 << 20] {
        let (mut documents, document) = (PublishedDocuments::default(), random_document(1, size));
        publish(&mut documents, 7, &document, START);
        let (received, _) = fetch_rest(&mut Transfer::default(), &mut documents);
        assert!(received == Received { version: 7, document }, "{size} bytes");
    }
}

// Guards against a transfer that starts from its first byte after each piece that is lost, and against
// one that depends on a single core instance.
#[test]
fn a_transfer_goes_on_at_another_core_instance_after_a_failure() {
    let document = random_document(2, 300_000);
    let (mut first, mut second) = (PublishedDocuments::default(), PublishedDocuments::default());
    publish(&mut first, 3, &document, START);
    publish(&mut second, 2, &random_document(1, 10), START);
    publish(&mut second, 3, &document, START);
    let mut transfer = Transfer::default();
    for _ in 0..3 {
        assert_eq!(fetch(&mut transfer, &mut first, START), None);
    }
    let received = transfer.next_request().offset;
    let size_before = transfer.next_request().bytes_max;
    transfer.note_failure();
    assert_eq!(transfer.next_request().bytes_max, size_before / 2, "smaller pieces are tried");
    let (whole, bytes) = fetch_rest(&mut transfer, &mut second);
    assert!(whole == Received { version: 3, document });
    assert!(bytes as u64 + received < 310_000, "{received} bytes and {bytes} more");
}

// Guards against changes that follow each other so fast that no transfer is ever completed.
#[test]
fn a_document_that_is_superseded_meanwhile_is_completed() {
    let (mut documents, document) = (PublishedDocuments::default(), random_document(3, 200_000));
    publish(&mut documents, 1, &document, START);
    let mut transfer = Transfer::default();
    assert_eq!(fetch(&mut transfer, &mut documents, START), None);
    for version in 2..=20 {
        publish(&mut documents, version, &random_document(version, 200_000), START);
    }
    let (received, _) = fetch_rest(&mut transfer, &mut documents);
    assert!(received == Received { version: 1, document });
    let (next, _) = fetch_rest(&mut transfer, &mut documents);
    assert_eq!(next.version, 20);
}

#[test]
fn the_newest_document_replaces_one_that_is_no_longer_kept() {
    let mut documents = PublishedDocuments::default();
    publish(&mut documents, 1, &random_document(1, 200_000), START);
    let mut transfer = Transfer::default();
    assert_eq!(fetch(&mut transfer, &mut documents, START), None);
    publish(&mut documents, 2, &random_document(2, 1_000), START);
    let later = START + SUPERSEDED_RETENTION + Duration::from_millis(1);
    let received = fetch(&mut transfer, &mut documents, later).expect("whole");
    assert_eq!(received.version, 2);
}

#[test]
fn superseded_documents_take_bounded_memory() {
    let mut documents = PublishedDocuments::default();
    for version in 1..=20 {
        publish(&mut documents, version, &random_document(version, 1 << 20), START);
    }
    let asked = |version| raw::PieceRequest { version, offset: 0, bytes_max: 1 };
    assert_eq!(documents.piece(&asked(19), START).version, 19);
    assert_eq!(documents.piece(&asked(5), START).version, 20, "it is not kept");
}

// Guards against an older document, of a core instance that starts, in place of a newer one.
#[test]
fn an_older_document_is_not_taken() {
    let mut documents = PublishedDocuments::default();
    publish(&mut documents, 4, &random_document(4, 10), START);
    publish(&mut documents, 3, &random_document(3, 10), START);
    let mut transfer = Transfer::default();
    let piece = documents.piece(&transfer.next_request(), START);
    assert_eq!(piece.version, 4);
    let refused = transfer.add(piece, 4);
    assert_eq!(refused, Err(PieceError::NotNewer { version: 4, held: 4 }));
}

#[test]
fn pieces_that_do_not_fit_are_refused_and_the_transfer_goes_on() {
    let (mut documents, document) = (PublishedDocuments::default(), random_document(5, 100_000));
    publish(&mut documents, 1, &document, START);
    let mut transfer = Transfer::default();
    assert_eq!(fetch(&mut transfer, &mut documents, START), None);
    let next = documents.piece(&transfer.next_request(), START);
    let late = raw::Piece { offset: next.offset - 1, ..next.clone() };
    assert!(matches!(transfer.add(late, 0), Err(PieceError::NotNext { .. })));
    let empty = raw::Piece { bytes: Bytes::new(), ..next };
    assert!(matches!(transfer.add(empty, 0), Err(PieceError::Empty { .. })));
    let (received, _) = fetch_rest(&mut transfer, &mut documents);
    assert!(received == Received { version: 1, document });
}

#[test]
fn a_damaged_document_is_refused_and_fetched_anew() {
    let (mut documents, document) = (PublishedDocuments::default(), random_document(6, 1_000));
    publish(&mut documents, 1, &document, START);
    let mut transfer = Transfer::default();
    let piece = documents.piece(&transfer.next_request(), START);
    let damaged = raw::Piece { bytes: vec![0; piece.bytes.len()].into(), ..piece };
    assert!(matches!(transfer.add(damaged, 0), Err(PieceError::Damaged { version: 1, .. })));
    let (received, _) = fetch_rest(&mut transfer, &mut documents);
    assert!(received == Received { version: 1, document });
}

#[test]
fn a_core_instance_without_a_configuration_is_of_no_use() {
    let mut transfer = Transfer::default();
    let piece = PublishedDocuments::default().piece(&transfer.next_request(), START);
    assert_eq!(transfer.add(piece, 0), Err(PieceError::NotNewer { version: 0, held: 0 }));
}

#[test]
fn pieces_are_bounded_whatever_is_asked_for() {
    let mut documents = PublishedDocuments::default();
    publish(&mut documents, 1, &random_document(7, 300_000), START);
    let asked = raw::PieceRequest { version: 1, offset: 0, bytes_max: u32::MAX };
    assert_eq!(documents.piece(&asked, START).bytes.len(), PIECE_MAX_BYTES);
    let beyond = raw::PieceRequest { version: 1, offset: u64::MAX, bytes_max: 0 };
    assert!(documents.piece(&beyond, START).bytes.is_empty());
}

// Guards against an instance that asks on for a document that a core instance of an earlier build has
// sent with an answer meanwhile, and so does not ask for the newer one.
#[test]
fn a_document_that_arrived_by_another_way_is_not_asked_for_any_more() {
    let (mut documents, document) = (PublishedDocuments::default(), random_document(8, 200_000));
    publish(&mut documents, 1, &document, START);
    let mut transfer = Transfer::default();
    assert_eq!(fetch(&mut transfer, &mut documents, START), None);
    publish(&mut documents, 2, &random_document(9, 1_000), START);
    let piece = documents.piece(&transfer.next_request(), START);
    let refused = transfer.add(piece, 1);
    assert_eq!(refused, Err(PieceError::NotNewer { version: 1, held: 1 }));
    let piece = documents.piece(&transfer.next_request(), START);
    let received = transfer.add(piece, 1).expect("a piece of use").expect("whole");
    assert_eq!(received.version, 2);
}
