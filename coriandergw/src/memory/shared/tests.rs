use super::*;

fn memory() -> Arc<MemoryBudget> {
    Arc::new(MemoryBudget::new(MachineLimits { memory_mb: 32, max_fds: 1_000 }))
}

fn later(millis: u64) -> Instant {
    Instant::now() + Duration::from_millis(millis)
}

/// Guards against waiters that are not woken, and bytes that stay reserved after a drop.
#[tokio::test(start_paused = true)]
async fn a_waiter_gets_the_bytes_that_are_dropped() {
    let memory = memory();
    let largest = memory.largest();
    let mut first = memory.open(HolderKind::Body, None);
    first.reserve(largest, later(0)).await.expect("there is room");
    first.complete(largest).expect("not evicted");
    let mut second = memory.open(HolderKind::Body, None);
    assert_eq!(second.reserve(largest, later(100)).await, Err(Denied::NoRoom));
    let waiting = tokio::spawn(async move { second.reserve(largest, later(60_000)).await });
    tokio::task::yield_now().await;
    drop(first);
    assert_eq!(waiting.await.expect("no panic"), Ok(()));
    assert_eq!(memory.held(), 0);
}

/// Guards against a stalled body that holds its bytes while others wait.
#[tokio::test(start_paused = true)]
async fn a_stalled_holder_is_told_that_it_is_evicted() {
    let memory = memory();
    let largest = memory.largest();
    let mut stalled = memory.open(HolderKind::Body, None);
    stalled.reserve(largest, later(0)).await.expect("there is room");
    let waiting_memory = memory.clone();
    let waiting = tokio::spawn(async move {
        let mut second = waiting_memory.open(HolderKind::Body, None);
        second.reserve(largest, later(60_000)).await
    });
    stalled.evicted().await;
    assert_eq!(stalled.complete(0), Err(Denied::Evicted));
    drop(stalled);
    assert_eq!(waiting.await.expect("no panic"), Ok(()));
}
