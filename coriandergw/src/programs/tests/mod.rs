//! Tests of programs with a fake endpoint, fake leases and a fake log.

mod audit;
mod budget;
mod crash;
mod fakes;
mod journal;
mod limits;
mod lives;
mod parked;
mod requests;
mod rival;
mod world;
