//! The TCP side of the proxy.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::proxy::Direction;
use crate::proxy::Shared;

/// The most bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// The chunks that wait for their time in one direction; more slow the sender down.
const QUEUED_CHUNKS: usize = 64;

/// How often a second a limited reader reads.
const LIMITED_READS_PER_SECOND: u64 = 50;

/// What travels in one direction; the sender's close travels last.
enum Piece {
    Data(Bytes),
    Close,
}

/// Says that both sides of a connection must be closed.
struct Cut;

pub(super) async fn accept_forever(shared: Arc<Shared>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((caller, _)) = accepted {
                    connections.spawn(connect(shared.clone(), caller));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connect(shared: Arc<Shared>, caller: TcpStream) {
    let generation = shared.plan().generation;
    tokio::select! {
        () = shared.until(|plan| plan.generation > generation) => {}
        () = relay(&shared, caller) => {}
    }
}

async fn relay(shared: &Shared, caller: TcpStream) {
    shared.until(|plan| !plan.to_target.blocked).await;
    let target = shared.plan().target;
    let Ok(target) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = target.into_split();
    let _ = tokio::try_join!(
        pass(shared, Direction::ToTarget, from_caller, to_target),
        pass(shared, Direction::ToCaller, from_target, to_caller),
    );
}

async fn pass(
    shared: &Shared,
    direction: Direction,
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
) -> Result<(), Cut> {
    let (tx, rx) = mpsc::channel(QUEUED_CHUNKS);
    let (_, written) =
        tokio::join!(read(shared, direction, from, tx), write(shared, direction, to, rx));
    written
}

async fn read(
    shared: &Shared,
    direction: Direction,
    mut from: OwnedReadHalf,
    tx: mpsc::Sender<(Instant, Piece)>,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    let mut due = Instant::now();
    loop {
        let limit = shared.faults(direction).bytes_per_second;
        let size = limit.map_or(CHUNK_BYTES, |rate| (rate / LIMITED_READS_PER_SECOND) as usize);
        let size = size.clamp(1, CHUNK_BYTES);
        // A reset counts as a close.
        let count = from.read(&mut buf[..size]).await.unwrap_or(0);
        let piece = match count {
            0 => Piece::Close,
            _ => Piece::Data(Bytes::copy_from_slice(&buf[..count])),
        };
        // Jitter never changes the order of bytes.
        due = due.max(Instant::now() + shared.delay(shared.faults(direction)));
        if tx.send((due, piece)).await.is_err() || count == 0 {
            return;
        }
        if let Some(rate) = limit {
            tokio::time::sleep(Duration::from_secs_f64(count as f64 / rate.max(1) as f64)).await;
        }
    }
}

async fn write(
    shared: &Shared,
    direction: Direction,
    mut to: OwnedWriteHalf,
    mut rx: mpsc::Receiver<(Instant, Piece)>,
) -> Result<(), Cut> {
    let mut written = 0;
    while let Some((due, piece)) = rx.recv().await {
        tokio::time::sleep_until(due).await;
        shared.until(|plan| !plan.faults(direction).blocked).await;
        let data = match piece {
            Piece::Data(data) => data,
            Piece::Close => {
                shared.until(|plan| !plan.faults(direction).half_open).await;
                let _ = to.shutdown().await;
                return Ok(());
            }
        };
        let limit = shared.faults(direction).cut_after_bytes.unwrap_or(u64::MAX);
        let allowed = limit.saturating_sub(written).min(data.len() as u64);
        // A receiver that is gone swallows bytes; its own close ends the other direction.
        let _ = to.write_all(&data[..allowed as usize]).await;
        written += allowed;
        if written >= limit {
            let _ = to.flush().await;
            return Err(Cut);
        }
    }
    Ok(())
}
