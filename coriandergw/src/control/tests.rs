use proptest::prelude::*;

use super::*;
use crate::catalogue::Change;
use crate::catalogue::ChangeAction;
use crate::catalogue::Entry;
use crate::catalogue::RawEntry;
use crate::clock::WallTime;
use crate::ids::ChangeId;
use crate::ids::EntryName;
use crate::ids::Epoch;
use crate::ids::PARTITION_COUNT;
use crate::ids::PartitionId;
use crate::ids::Revision;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// A control state and helpers that apply encoded commands to it, as the log does.
#[derive(Default)]
struct TestState {
    state: ControlState,
}

impl TestState {
    fn run(&mut self, command: CommandKind) -> Result<u64, Refusal> {
        decode_answer(&self.state.apply(&command.encode_command()))
    }

    fn put(&mut self, id: &str, against: u64, owner: &str) -> Result<u64, Refusal> {
        self.run(put(id, against, owner))
    }

    fn register(&mut self, number: u64, session: u64) -> u64 {
        let register = Register {
            name: format!("i{number}"),
            data_centre: format!("dc{}", number % 3),
            caller_address: "127.0.0.1:1".to_owned(),
            peer_address: "127.0.0.1:2".to_owned(),
            session,
            wall_ms: 7,
        };
        self.run(CommandKind::Register(register)).expect("registered")
    }

    fn take_control(&mut self, nonce: u64) -> u64 {
        let take = TakeControl { instance: "i1".to_owned(), nonce };
        self.run(CommandKind::TakeControl(take)).expect("allocated")
    }

    fn assign(&mut self, fencing: u64, holder: u32, partitions: &[u32]) -> Result<u64, Refusal> {
        let moves = vec![Move { holder, partitions: partitions.to_vec() }];
        let against = self.state.table_revision().0;
        self.run(CommandKind::Reassign(Reassign { fencing, against, moves }))
    }

    fn restart(&mut self) {
        self.state = ControlState::restore(&self.state.snapshot()).expect("restored");
    }
}

fn change(id: &str, against: u64, owner: &str) -> Change {
    let raw = RawEntry { name: "e".to_owned(), owner: owner.to_owned(), ..RawEntry::default() };
    Change {
        id: ChangeId::try_from(id).unwrap(),
        entry: EntryName::try_from("e").unwrap(),
        against: Revision(against),
        operator: "op".to_owned(),
        action: ChangeAction::Put(Entry::try_from(raw).unwrap()),
    }
}

fn put(id: &str, against: u64, owner: &str) -> CommandKind {
    change_command(&change(id, against, owner), WallTime(5))
}

#[test]
fn a_refused_concurrent_change_is_told_which_change_was_accepted() {
    let mut test = TestState::default();
    let first = test.put("c1", 0, "a").unwrap();
    let second = test.put("winner", first, "b").unwrap();
    let refusal = test.put("loser", first, "c").unwrap_err();
    assert_eq!(refusal.code, ResultCode::RevisionConflict);
    assert!(refusal.message.contains("winner"), "{refusal}");
    let entry = &test.state.published().entries()[&EntryName::try_from("e").unwrap()];
    assert_eq!((entry.owner.as_str(), entry.revision.0), ("b", second));
}

#[test]
fn a_resent_change_gets_its_first_answer_also_after_a_snapshot() {
    let mut test = TestState::default();
    let accepted = put("c1", 0, "a").encode_command();
    let refused = put("c2", 0, "b").encode_command();
    let first = (test.state.apply(&accepted), test.state.apply(&refused));
    test.restart();
    let resent = change_command(&change("c1", 0, "a"), WallTime(99)).encode_command();
    assert_eq!((test.state.apply(&resent), test.state.apply(&refused)), first);
    assert_eq!(test.state.published().revision(), Revision(1));
    assert_eq!(test.put("c1", 0, "other").unwrap_err().code, ResultCode::ChangeIdReused);
}

#[test]
fn a_change_of_an_entry_that_exists_needs_its_revision() {
    let mut test = TestState::default();
    test.put("c1", 0, "a").unwrap();
    assert_eq!(test.put("c2", 0, "b").unwrap_err().code, ResultCode::RevisionConflict);
    let remove = |id, against| Change { action: ChangeAction::Remove, ..change(id, against, "a") };
    let removed = test.run(change_command(&remove("c3", 1), WallTime(1)));
    assert_eq!(removed, Ok(2));
    let absent = test.run(change_command(&remove("c4", 0), WallTime(1)));
    assert_eq!(absent.unwrap_err().code, ResultCode::UnknownEntry);
    let history = test.state.history(&EntryName::try_from("e").unwrap());
    let changes: Vec<_> = history.iter().map(|record| record.change_id.as_str()).collect();
    assert_eq!(changes, ["c1", "c3"]);
}

#[test]
fn fencing_numbers_are_never_reused_and_former_leaders_are_refused() {
    let mut test = TestState::default();
    test.register(1, 1);
    let first = test.take_control(10);
    assert_eq!(test.take_control(10), first, "a repeated command allocates nothing");
    test.restart();
    let second = test.take_control(11);
    assert!(second > first);
    assert_eq!(test.assign(first, 1, &[0]).unwrap_err().code, ResultCode::StaleFencing);
    test.assign(second, 1, &[0]).unwrap();
}

#[test]
fn a_restarted_instance_does_not_hold_the_partitions_of_its_earlier_incarnation() {
    let mut test = TestState::default();
    assert_eq!(test.register(1, 1), 1);
    let fencing = test.take_control(1);
    test.assign(fencing, 1, &[5]).unwrap();
    let assignment = test.state.published().table().assignment(PartitionId(5));
    let holds = |test: &TestState| test.state.published().instance_at(1).unwrap().holds(assignment);
    assert!(holds(&test));
    assert_eq!(test.register(1, 1), 1, "a repeated command changes nothing");
    assert!(holds(&test));
    assert_eq!(test.register(1, 2), 2);
    assert!(!holds(&test));
}

#[test]
fn plans_against_an_older_table_and_bad_moves_are_refused() {
    let mut test = TestState::default();
    test.register(1, 1);
    let fencing = test.take_control(1);
    let against = test.state.table_revision().0;
    test.register(2, 1);
    let moves = vec![Move { holder: 1, partitions: vec![1] }];
    let stale = test.run(CommandKind::Reassign(Reassign { fencing, against, moves }));
    assert_eq!(stale.unwrap_err().code, ResultCode::StaleTable);
    let out_of_range = u32::from(PARTITION_COUNT);
    for partitions in [&[1, 1][..], &[out_of_range]] {
        let refusal = test.assign(fencing, 1, partitions).unwrap_err();
        assert_eq!(refusal.code, ResultCode::MalformedCommand);
    }
    assert_eq!(test.assign(fencing, 9, &[1]).unwrap_err().code, ResultCode::UnknownInstance);
}

#[test]
fn the_full_table_of_360_instances_stays_under_20_kilobytes() {
    let mut test = TestState::default();
    (1..=360).for_each(|number| {
        test.register(number, 1);
    });
    let fencing = test.take_control(1);
    for partition in 0..u32::from(PARTITION_COUNT) {
        test.assign(fencing, 1 + (partition * 7) % 360, &[partition]).unwrap();
    }
    let published = test.state.published().to_message();
    let table = generated::Published { entries: vec![], instances: vec![], ..published };
    let bytes = prost::Message::encoded_len(&table);
    println!("the table takes {bytes} bytes");
    assert!(bytes < 20_000, "{bytes} bytes");
}

proptest! {
    /// Checks that arbitrary bytes do not cause a panic.
    #[test]
    fn arbitrary_bytes_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut state = ControlState::default();
        let _ = state.apply(&bytes);
        let _ = ControlState::restore(&bytes);
        let _ = Published::decode(&bytes);
    }

    /// Applies random commands, sometimes restoring the state from a snapshot, while a replica
    /// follows by deltas.
    #[test]
    fn revisions_never_decrease_and_a_partition_has_one_home_in_an_epoch(
        steps in proptest::collection::vec((0_u8..6, 0_u64..4, 0_u32..8), 1..60)
    ) {
        let mut test = TestState::default();
        let mut replica = Replica::default();
        let mut homes = std::collections::BTreeMap::<(u16, Epoch), u32>::new();
        let mut highest = 0;
        for (number, (step, a, b)) in steps.into_iter().enumerate() {
            let before = test.state.published().revision();
            let against = test.state.published().entries().values().next();
            let against = against.map_or(0, |entry| entry.revision.0);
            match step {
                0 => { let _ = test.put(&format!("c{b}"), against, &format!("o{a}")); }
                1 => { test.register(a, u64::from(b)); }
                2 => {
                    let fencing = test.take_control(a);
                    prop_assert!(fencing >= highest);
                    highest = fencing;
                }
                3 | 4 => { let _ = test.assign(a, b % 4, &[b, b + 1]); }
                _ => test.restart(),
            }
            prop_assert!(test.state.published().revision() >= before, "step {}", number);
            if step != 5 {
                let missing = test.state.replica().deltas_after(before, usize::MAX).unwrap();
                for delta in missing {
                    let delta = prost::Message::decode(delta).unwrap();
                    replica.apply(&delta).unwrap();
                }
            }
            prop_assert_eq!(replica.published(), test.state.published());
            for (partition, assignment) in test.state.published().table().iter().take(10) {
                let home =
                    *homes.entry((partition.0, assignment.epoch)).or_insert(assignment.holder);
                prop_assert_eq!(home, assignment.holder);
            }
        }
    }
}
