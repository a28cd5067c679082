//! A budget for retries, which keeps a burst of failures from multiplying the load.

/// Retries allowed for one service, earned by its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    permille: u32,
    balance: u32,
}

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u32 = 1_000;
/// Maximum number of retries that can be saved up.
const MAX_SAVED_RETRIES: u32 = 10;

impl Budget {
    /// Creates a budget that earns `permille` retries per thousand requests.
    pub fn new(permille: u32) -> Self {
        Self {
            permille,
            balance: RETRY_COST,
        }
    }

    /// Adds the fraction of a retry that a new request earns.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.permille).min(RETRY_COST * MAX_SAVED_RETRIES);
    }

    /// Spends one retry; returns whether the budget allowed it.
    pub fn spend(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
