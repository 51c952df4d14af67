//! The account of a program's budget.

/// An amount of what budgets count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Amount {
    /// Tokens of prompts and answers together.
    pub tokens: u64,
    /// Calls that are dispatched.
    pub calls: u64,
}

impl Amount {
    /// Returns whether both parts of `other` fit into this amount.
    pub fn covers(self, other: Amount) -> bool {
        other.tokens <= self.tokens && other.calls <= self.calls
    }

    fn plus(self, other: Amount) -> Amount {
        Amount {
            tokens: self.tokens.saturating_add(other.tokens),
            calls: self.calls.saturating_add(other.calls),
        }
    }

    fn minus(self, other: Amount) -> Amount {
        Amount {
            tokens: self.tokens.saturating_sub(other.tokens),
            calls: self.calls.saturating_sub(other.calls),
        }
    }
}

/// Keeps what a program may use, has used, has reserved and has lent to sub-agents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ledger {
    total: Amount,
    spent: Amount,
    reserved: Amount,
    lent: Amount,
}

impl Ledger {
    /// Opens an account over `total`.
    pub fn new(total: Amount) -> Self {
        Self { total, ..Self::default() }
    }

    /// Returns what may still be reserved or lent.
    pub fn remaining(&self) -> Amount {
        self.total.minus(self.spent).minus(self.reserved).minus(self.lent)
    }

    /// Returns the whole budget.
    pub fn total(&self) -> Amount {
        self.total
    }

    /// Reserves `amount`. Returns false and changes nothing if the rest does not cover it.
    pub fn reserve(&mut self, amount: Amount) -> bool {
        if !self.remaining().covers(amount) {
            return false;
        }
        self.reserved = self.reserved.plus(amount);
        true
    }

    /// Replaces a reservation by what was used.
    pub fn settle(&mut self, reserved: Amount, used: Amount) {
        self.reserved = self.reserved.minus(reserved);
        self.spent = self.spent.plus(used);
    }

    /// Lends `amount` to a sub-agent. Returns false and changes nothing if it is not covered.
    pub fn lend(&mut self, amount: Amount) -> bool {
        if !self.remaining().covers(amount) {
            return false;
        }
        self.lent = self.lent.plus(amount);
        true
    }

    /// Takes back a loan of which `rest` was not used.
    pub fn take_back(&mut self, lent: Amount, rest: Amount) {
        self.lent = self.lent.minus(lent);
        self.spent = self.spent.plus(lent.minus(rest));
    }
}
