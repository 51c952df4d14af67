//! Follows one request or program through the logs of several processes.
//!
//! The logs are what each process writes to standard output, one event a line. A
//! [`report::FollowReport`] holds the lines of the request in order, what the processes came to
//! believe around it, and which decision ended it.

pub mod line;
pub mod report;

#[cfg(test)]
mod tests;
