//! Retry budgets: limit retries to a fraction of the successful requests.

/// The refill and the capacity of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// Retries added by each success.
    pub per_success: f64,
    /// Maximum number of accumulated retries; a new budget starts with as many.
    pub capacity: f64,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self { per_success: 0.1, capacity: 10.0 }
    }
}

/// The retries available to one caller or towards one target.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    available: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(options: RetryBudgetOptions) -> Self {
        Self { options, available: options.capacity }
    }

    /// Adds the retries earned by a success.
    pub fn record_success(&mut self) {
        self.available = (self.available + self.options.per_success).min(self.options.capacity);
    }

    /// Takes one retry; returns whether one was available.
    pub fn take(&mut self) -> bool {
        let allowed = self.available >= 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryBudgetOptions::default())
    }
}
