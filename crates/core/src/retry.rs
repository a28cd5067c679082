//! A budget for retries, so that a burst of failures does not multiply load.

/// Retries allowed for one service, earned by its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    permille: u32,
    balance: u32,
}

/// What one retry costs.
const COST: u32 = 1_000;
/// Most that can be saved up, in retries.
const MOST_SAVED: u32 = 10;

impl Budget {
    /// Starts a budget that earns `permille` retries per thousand requests.
    pub fn new(permille: u32) -> Self {
        Self {
            permille,
            balance: COST,
        }
    }

    /// Notes a new request.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.permille).min(COST * MOST_SAVED);
    }

    /// Takes one retry from the budget if there is one.
    pub fn spend(&mut self) -> bool {
        if self.balance < COST {
            return false;
        }
        self.balance -= COST;
        true
    }
}
