//! Health of endpoints by the outcomes of their calls.
