//! The links between one entry instance and the endpoints, which tests can cut.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::watch;

use crate::dialer::Dialer;

/// What happens to the bytes between an entry instance and all endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// They arrive.
    Open,
    /// They are held up, also those of new connections.
    Silent,
    /// New connections are refused; open ones work.
    Refused,
}

/// The links of one entry instance.
pub struct Links {
    state: watch::Sender<LinkState>,
    /// The endpoint that answers nothing any more, as after a loss of its power.
    dark: watch::Sender<Option<SocketAddr>>,
}

impl Links {
    pub fn open() -> Arc<Self> {
        let (state, dark) = (watch::Sender::new(LinkState::Open), watch::Sender::default());
        Arc::new(Self { state, dark })
    }

    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    pub fn set_dark(&self, endpoint: SocketAddr) {
        self.dark.send_replace(Some(endpoint));
    }
}

async fn until_not_silent(state: &mut watch::Receiver<LinkState>) {
    // Fails only once the links are dropped, with the test.
    let _ = state.wait_for(|state| *state != LinkState::Silent).await;
}

#[async_trait]
impl Dialer for Links {
    async fn dial(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let mut state = self.state.subscribe();
        let mut dark = self.dark.subscribe();
        if *dark.borrow() == Some(address) {
            return std::future::pending().await;
        }
        until_not_silent(&mut state).await;
        if *state.borrow() == LinkState::Refused {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let target = TcpStream::connect(address).await?;
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let (dialed, accepted) =
            tokio::join!(TcpStream::connect(listener.local_addr()?), listener.accept());
        let near = accepted?.0;
        tokio::spawn(async move {
            // Neither side hears anything any more.
            let is_dark = async move { dark.wait_for(|dark| *dark == Some(address)).await.is_ok() };
            tokio::select! {
                () = connect(near, target, state) => {}
                true = is_dark => std::future::pending().await,
            }
        });
        dialed
    }
}

/// Copies bytes both ways. Passes on how the connection ends.
async fn connect(mut near: TcpStream, mut target: TcpStream, state: watch::Receiver<LinkState>) {
    let (near_reader, near_writer) = near.split();
    let (target_reader, target_writer) = target.split();
    let copied = tokio::select! {
        copied = copy(near_reader, target_writer, state.clone()) => copied,
        copied = copy(target_reader, near_writer, state) => copied,
    };
    if copied.is_err() {
        for socket in [&near, &target] {
            let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Copies bytes while the link is not silent.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut state: watch::Receiver<LinkState>,
) -> io::Result<()> {
    let mut buf = [0; 4096];
    loop {
        let read = from.read(&mut buf).await;
        until_not_silent(&mut state).await;
        match read? {
            0 => return Ok(()),
            count => to.write_all(&buf[..count]).await?,
        }
    }
}
