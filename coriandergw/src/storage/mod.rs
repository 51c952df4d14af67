//! Files under the data folder: the write-ahead file and the snapshots.
