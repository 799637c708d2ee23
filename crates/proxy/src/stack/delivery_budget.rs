//! What one request has withdrawn from the retry budget of its service.

/// Withdrawals for the deliveries of one request. A withdrawal that no delivery used pays for the next one.
#[derive(Debug, Default)]
pub struct DeliveryBudget {
    is_next_paid: bool,
    was_last_paid: bool,
}

impl DeliveryBudget {
    /// Whether the next delivery is already paid for.
    pub fn is_next_paid(&self) -> bool {
        self.is_next_paid
    }

    /// Pays for the next delivery by `withdraw`, unless that is done. Returns whether it is paid for.
    pub fn try_pay(&mut self, withdraw: impl FnOnce() -> bool) -> bool {
        self.is_next_paid = self.is_next_paid || withdraw();
        self.is_next_paid
    }

    /// A delivery has used the payment, if there was one.
    pub fn record_delivery(&mut self) {
        self.was_last_paid = std::mem::replace(&mut self.is_next_paid, false);
    }

    /// The last delivery was a prefill that is free, if `is_free`: what was paid for it pays for the next delivery.
    pub fn record_prefill(&mut self, is_free: bool) {
        self.is_next_paid = is_free && self.was_last_paid;
    }
}
