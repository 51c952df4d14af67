//! Which endpoint a call is sent to.
