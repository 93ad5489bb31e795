//! Retry budgets: retries are a bounded fraction of successes.

/// How a retry budget fills and how much it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// Retries earned by one success.
    pub per_success: f64,
    /// Retries that may be saved up; also what a new budget holds.
    pub most: f64,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self { per_success: 0.1, most: 10.0 }
    }
}

/// Retries that may still be made for one caller or towards one target.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    left: f64,
}

impl RetryBudget {
    /// Makes a full budget.
    pub fn new(options: RetryBudgetOptions) -> Self {
        Self { options, left: options.most }
    }

    /// Counts a success.
    pub fn success(&mut self) {
        self.left = (self.left + self.options.per_success).min(self.options.most);
    }

    /// Takes one retry; tells whether there was one left.
    pub fn take(&mut self) -> bool {
        let allowed = self.left >= 1.0;
        if allowed {
            self.left -= 1.0;
        }
        allowed
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryBudgetOptions::default())
    }
}
