use bytes::Bytes;
use proptest::prelude::*;

use super::super::wire;
use super::*;

fn kinds() -> Vec<MessageKind> {
    vec![
        MessageKind::Ping { sequence: 1 },
        MessageKind::PingRequest { sequence: 2, target: name(3) },
        MessageKind::RelayedPing { sequence: 3, origin: name(4) },
        MessageKind::RelayedAck { sequence: 4, origin: name(5) },
        MessageKind::Ack { sequence: 5 },
        MessageKind::Join,
        MessageKind::Welcome,
    ]
}

fn update(state: MemberState, accuser: Option<InstanceName>) -> Update {
    Update { name: name(7), data_centre: data_centre(2), state, incarnation: 9, accuser }
}

#[test]
fn every_message_decodes_to_what_was_encoded() {
    let updates = vec![
        update(MemberState::Alive, None),
        update(MemberState::Suspect, Some(name(8))),
        update(MemberState::Leaving, None),
        update(MemberState::Dead, None),
    ];
    for kind in kinds() {
        let message = Message { kind, updates: updates.clone() };
        assert_eq!(wire::decode(wire::encode(message.clone())), Ok(message));
    }
}

#[test]
fn a_probe_without_updates_takes_at_most_13_bytes() {
    let ping = Message { kind: MessageKind::Ping { sequence: u64::MAX }, updates: Vec::new() };
    assert!(wire::encode(ping).len() <= 13);
}

#[test]
fn decoding_a_message_without_a_kind_fails_with_a_result_code() {
    let error = wire::decode(Bytes::new()).unwrap_err();
    assert!(error.starts_with("CG-4106"), "{error}");
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(raw: Vec<u8>, cut in 0_usize..60, flip: u8) {
        let _ = wire::decode(Bytes::from(raw));
        let updates = vec![update(MemberState::Suspect, Some(name(8)))];
        let ping = Message { kind: MessageKind::RelayedPing { sequence: 3, origin: name(4) }, updates };
        let mut bytes = wire::encode(ping).to_vec();
        bytes.truncate(cut);
        if let Some(last) = bytes.last_mut() {
            *last ^= flip;
        }
        let _ = wire::decode(Bytes::from(bytes));
    }
}
