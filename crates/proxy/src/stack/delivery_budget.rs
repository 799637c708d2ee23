//! The withdrawals of one request from the retry budget of its service.

/// The withdrawals for the deliveries of one request. A withdrawal that no delivery has used is kept for the
/// next delivery.
#[derive(Debug, Default)]
pub struct DeliveryBudget {
    has_unused_withdrawal: bool,
    last_delivery_used_withdrawal: bool,
}

impl DeliveryBudget {
    /// Returns whether there is a withdrawal for the next delivery.
    pub fn has_unused_withdrawal(&self) -> bool {
        self.has_unused_withdrawal
    }

    /// Withdraws for the next delivery by calling `withdraw`, unless there is an unused withdrawal. Returns
    /// whether the next delivery is covered.
    pub fn try_withdraw(&mut self, withdraw: impl FnOnce() -> bool) -> bool {
        self.has_unused_withdrawal = self.has_unused_withdrawal || withdraw();
        self.has_unused_withdrawal
    }

    /// Records a delivery, which uses the withdrawal if there is one.
    pub fn record_delivery(&mut self) {
        self.last_delivery_used_withdrawal = std::mem::replace(&mut self.has_unused_withdrawal, false);
    }

    /// Records that the last delivery was a prefill. If the prefill is free, its withdrawal becomes available
    /// for the next delivery.
    pub fn record_prefill(&mut self, is_free: bool) {
        self.has_unused_withdrawal = is_free && self.last_delivery_used_withdrawal;
    }
}
