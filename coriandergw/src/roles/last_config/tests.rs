use super::*;
use crate::clock::SystemClock;
use crate::ids::InstanceName;
use crate::storage::memory_disk::MemoryDisk;
use crate::test_support;

fn context() -> Context {
    let name = InstanceName::try_from("core").unwrap();
    test_support::context(name, "dc", Arc::new(SystemClock::default()))
}

fn reported_failures(cx: &Context) -> usize {
    let is_report = |event: &crate::events::Event| event.number == 514;
    cx.events.select(is_report).len()
}

#[tokio::test]
async fn a_written_configuration_can_be_read_back() {
    let (cx, disk) = (context(), Arc::new(MemoryDisk::default()));
    assert_eq!(read(&cx, &*disk), None);
    let state = ConfigState { config_version: 7, config: "text".into(), ..ConfigState::default() };
    write(&cx, disk.clone(), &state).await;
    assert_eq!(read(&cx, &*disk), Some(state));
    assert_eq!(reported_failures(&cx), 0);
}

#[tokio::test]
async fn a_damaged_file_is_reported_and_not_used() {
    let (cx, disk) = (context(), MemoryDisk::default());
    disk.replace(FILE, b"\xff\xff\xff").unwrap();
    assert_eq!(read(&cx, &disk), None);
    assert_eq!(reported_failures(&cx), 1);
}
