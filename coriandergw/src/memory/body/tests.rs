use std::sync::Arc;
use std::time::Duration;

use futures_util::stream;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;

use super::*;
use crate::memory::budget::HolderKind;
use crate::memory::shared::MemoryBudget;

fn limits(max_bytes: usize) -> BodyLimits {
    BodyLimits { max_bytes, deadline: Instant::now() + Duration::from_secs(5) }
}

fn chunks(
    count: usize,
    bytes: usize,
) -> StreamBody<impl stream::Stream<Item = Result<Frame<Bytes>, std::io::Error>>> {
    let chunk = Bytes::from(vec![b'x'; bytes]);
    let frames = (0..count).map(move |_| Ok(Frame::data(chunk.clone())));
    StreamBody::new(stream::iter(frames))
}

/// Guards against bytes that stay reserved after a body, or are released while it is in use.
#[tokio::test]
async fn the_reservation_lasts_as_long_as_the_bytes() {
    let memory = Arc::<MemoryBudget>::default();
    let held = memory.open(HolderKind::Body, None);
    let bytes = collect(chunks(100_000, 1), limits(1 << 20), held).await.expect("a body");
    assert_eq!((bytes.len(), memory.held()), (100_000, 100_000));
    let part = bytes.slice(..1);
    drop(bytes);
    assert_eq!(memory.held(), 100_000);
    drop(part);
    assert_eq!(memory.held(), 0);
}

/// Guards against bodies over the limit that are read, and bytes that leak with the refusal.
#[tokio::test]
async fn bodies_over_the_limit_are_refused() {
    let memory = Arc::<MemoryBudget>::default();
    let held = memory.open(HolderKind::Body, None);
    let announced = Full::new(Bytes::from_static(b"12345"));
    assert_eq!(collect(announced, limits(4), held).await, Err(BodyError::TooLarge));
    let held = memory.open(HolderKind::Body, None);
    assert_eq!(collect(chunks(50, 1_000), limits(49_999), held).await, Err(BodyError::TooLarge));
    assert_eq!(memory.held(), 0);
    let held = memory.open(HolderKind::Body, None);
    let whole = collect(chunks(50, 1_000), limits(50_000), held).await;
    assert_eq!(whole.map(|bytes| bytes.len()), Ok(50_000));
}
