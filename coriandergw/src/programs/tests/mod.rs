//! Tests of programs with fakes at the borders.

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
