//! Whole processes of the entry path over loopback, before endpoints that misbehave.

mod budgets;
mod dishonest;
mod endpoint;
mod groups;
mod routing;
mod streams;
mod world;
