//! The accounts that have a label of their own in the metrics.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::account_limits::Ask;

/// The maximum number of accounts with a label of their own, which bounds the size of the metrics.
const LABELS_MAX: usize = 100;

/// The label of all other accounts.
const OTHERS: &str = "(other)";

/// The accounts with the highest limits of those that were seen.
#[derive(Debug, Default)]
pub(super) struct AccountLabels {
    rates: BTreeMap<Arc<str>, f64>,
}

impl AccountLabels {
    /// Returns the label for an account, and the account that lost its own label to it.
    pub(super) fn label(&mut self, ask: &Ask) -> (Arc<str>, Option<Arc<str>>) {
        if let Some(rate) = self.rates.get_mut(&ask.account) {
            *rate = ask.limit.per_second;
            return (ask.account.clone(), None);
        }
        let mut dropped = None;
        if self.rates.len() >= LABELS_MAX {
            let lowest = self.rates.iter().min_by(|a, b| a.1.total_cmp(b.1));
            match lowest.filter(|(_, rate)| **rate < ask.limit.per_second) {
                Some((name, _)) => dropped = Some(name.clone()),
                None => return (OTHERS.into(), None),
            }
        }
        if let Some(name) = &dropped {
            self.rates.remove(name);
        }
        self.rates.insert(ask.account.clone(), ask.limit.per_second);
        (ask.account.clone(), dropped)
    }
}
