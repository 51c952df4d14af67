//! Which calls are let in, and which are refused early.
