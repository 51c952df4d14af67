//! The UDP side of the proxy: one socket towards the target for each caller.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::proxy::Direction;
use crate::proxy::Shared;

/// The largest packet.
const PACKET_MAX_BYTES: usize = 65_535;

/// The packets that may be held up at once; more are lost, as in a full router.
const HELD_PACKETS_MAX: usize = 4_096;

/// The callers that one proxy serves; packets of others are lost.
const CALLERS_MAX: usize = 256;

/// Sends packets on with the faults of one direction.
#[derive(Clone)]
struct Sender {
    shared: Arc<Shared>,
    direction: Direction,
    held: Arc<Semaphore>,
}

impl Sender {
    async fn send(&self, socket: &Arc<UdpSocket>, to: SocketAddr, packet: &[u8]) {
        let faults = self.shared.faults(self.direction);
        if faults.blocked || self.shared.happens(faults.loss) {
            return;
        }
        let copies = 1 + usize::from(self.shared.happens(faults.duplication));
        for _ in 0..copies {
            let delay = self.shared.delay(faults);
            if delay.is_zero() {
                // A target that is not there loses the packet.
                let _ = socket.send_to(packet, to).await;
                continue;
            }
            let Ok(permit) = self.held.clone().try_acquire_owned() else {
                return;
            };
            let packet = Bytes::copy_from_slice(packet);
            let socket = socket.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.send_to(&packet, to).await;
                drop(permit);
            });
        }
    }
}

pub(super) async fn receive_forever(shared: Arc<Shared>, front: UdpSocket) {
    let front = Arc::new(front);
    let held = Arc::new(Semaphore::new(HELD_PACKETS_MAX));
    let sender = |direction| Sender { shared: shared.clone(), direction, held: held.clone() };
    let to_target = sender(Direction::ToTarget);
    let to_caller = sender(Direction::ToCaller);
    let mut upstreams: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    // Aborting the task drops the set, which ends the tasks of all callers.
    let mut tasks = JoinSet::new();
    let mut buf = vec![0; PACKET_MAX_BYTES];
    loop {
        let Ok((size, caller)) = front.recv_from(&mut buf).await else {
            continue;
        };
        if !upstreams.contains_key(&caller) && upstreams.len() < CALLERS_MAX {
            let Ok(upstream) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await else {
                continue;
            };
            let upstream = Arc::new(upstream);
            tasks.spawn(answer(upstream.clone(), front.clone(), caller, to_caller.clone()));
            upstreams.insert(caller, upstream);
        }
        if let Some(upstream) = upstreams.get(&caller) {
            to_target.send(upstream, shared.plan().target, &buf[..size]).await;
        }
    }
}

async fn answer(
    upstream: Arc<UdpSocket>,
    front: Arc<UdpSocket>,
    caller: SocketAddr,
    sender: Sender,
) {
    let mut buf = vec![0; PACKET_MAX_BYTES];
    loop {
        // A target that is not there shows as an error here; the next one may be.
        if let Ok((size, _)) = upstream.recv_from(&mut buf).await {
            sender.send(&front, caller, &buf[..size]).await;
        }
    }
}
