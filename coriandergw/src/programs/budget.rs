//! The accounting of a program's budget.

/// An amount of tokens and calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Amount {
    /// The tokens of prompts and answers together.
    pub tokens: u64,
    /// The number of calls.
    pub calls: u64,
}

impl Amount {
    /// Returns whether this amount is at least `other` in both tokens and calls.
    pub fn covers(self, other: Amount) -> bool {
        other.tokens <= self.tokens && other.calls <= self.calls
    }

    fn saturating_add(self, other: Amount) -> Amount {
        Amount {
            tokens: self.tokens.saturating_add(other.tokens),
            calls: self.calls.saturating_add(other.calls),
        }
    }

    fn saturating_sub(self, other: Amount) -> Amount {
        Amount {
            tokens: self.tokens.saturating_sub(other.tokens),
            calls: self.calls.saturating_sub(other.calls),
        }
    }
}

/// The total budget of a program and how much of it is spent, reserved and delegated to sub-agents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ledger {
    total: Amount,
    spent: Amount,
    reserved: Amount,
    delegated: Amount,
}

impl Ledger {
    /// Creates a ledger of which nothing is used yet.
    pub fn new(total: Amount) -> Self {
        Self { total, ..Self::default() }
    }

    /// Returns the amount that can still be reserved or delegated.
    pub fn remaining(&self) -> Amount {
        self.total
            .saturating_sub(self.spent)
            .saturating_sub(self.reserved)
            .saturating_sub(self.delegated)
    }

    /// Returns the budget that the ledger was created with.
    pub fn total(&self) -> Amount {
        self.total
    }

    /// Reserves `amount`. Returns false and changes nothing if the remaining budget is too small.
    pub fn reserve(&mut self, amount: Amount) -> bool {
        if !self.remaining().covers(amount) {
            return false;
        }
        self.reserved = self.reserved.saturating_add(amount);
        true
    }

    /// Releases a reservation and charges the amount that was used.
    pub fn settle(&mut self, reserved: Amount, used: Amount) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent = self.spent.saturating_add(used);
    }

    /// Delegates `amount` to a sub-agent. Returns false and changes nothing if the remaining budget
    /// is too small.
    pub fn delegate(&mut self, amount: Amount) -> bool {
        if !self.remaining().covers(amount) {
            return false;
        }
        self.delegated = self.delegated.saturating_add(amount);
        true
    }

    /// Ends a delegation, of which `rest` was not used, and charges what was used.
    pub fn reclaim(&mut self, delegated: Amount, rest: Amount) {
        self.delegated = self.delegated.saturating_sub(delegated);
        self.spent = self.spent.saturating_add(delegated.saturating_sub(rest));
    }
}
