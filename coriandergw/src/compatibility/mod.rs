//! Checks that this build and the released one understand each other while both run.
//!
//! `released.txt` holds encodings made by the released build. [`messages`] covers what is sent
//! between processes, [`files`] what is kept on disk, [`machines`] what the voters of a group apply,
//! and [`agreements`] what processes work out for themselves and must agree on.
//! `testkit/tests/schema.rs` compares the message definitions.

mod agreements;
mod encodings;
mod files;
mod machines;
mod messages;
mod transport;
