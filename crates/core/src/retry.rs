//! A budget for retries, so that a burst of failures does not multiply load.

/// Retries allowed for one service, earned by its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    permille: u32,
    balance: u32,
}

/// What one retry costs.
const RETRY_COST: u32 = 1_000;
/// Most that can be saved up, in retries.
const MAX_SAVED_RETRIES: u32 = 10;

impl Budget {
    /// Starts a budget that earns `permille` retries per thousand requests.
    pub fn new(permille: u32) -> Self {
        Self {
            permille,
            balance: RETRY_COST,
        }
    }

    /// Notes a new request.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.permille).min(RETRY_COST * MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget if there is one.
    pub fn spend(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
