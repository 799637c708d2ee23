//! Running statistics: means, a median, decaying counts, and the demanded and served value of classes.

/// Adds a sample to an exponentially weighted moving average. The first sample sets it; zero means no sample
/// yet.
pub(crate) fn update_ewma(mean: &mut f64, sample: f64, gain: f64) {
    *mean = if *mean > 0.0 { *mean + (sample - *mean) * gain } else { sample };
}

/// A count of events that decays exponentially with time.
#[derive(Clone, Copy)]
pub(crate) struct DecayingCount {
    count: f64,
    updated_at_ms: f64,
}

impl DecayingCount {
    /// Creates a count of zero.
    pub(crate) fn new(now_ms: f64) -> Self {
        DecayingCount { count: 0.0, updated_at_ms: now_ms }
    }

    /// Returns the count, decayed to now.
    pub(crate) fn at(&self, now_ms: f64, time_constant_ms: f64) -> f64 {
        self.count * (-(now_ms - self.updated_at_ms) / time_constant_ms).exp()
    }

    /// Adds one event at `now_ms`.
    pub(crate) fn increment(&mut self, now_ms: f64, time_constant_ms: f64) {
        *self = DecayingCount { count: self.at(now_ms, time_constant_ms) + 1.0, updated_at_ms: now_ms };
    }
}

/// The demanded and the served value of a class. Both decay with the number of requests.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassValueTotals {
    pub(crate) demanded: f64,
    pub(crate) served: f64,
}

impl ClassValueTotals {
    /// Decays both totals by one request of any class.
    pub(crate) fn decay(&mut self, gain: f64) {
        self.demanded *= 1.0 - gain;
        self.served *= 1.0 - gain;
    }

    fn served_share(&self) -> f64 {
        if self.demanded > 0.0 { self.served / self.demanded } else { 1.0 }
    }

    /// Returns how much a unit of value served to this class adds to the smallest served share of all
    /// classes, relative to how much it adds to the served share of all value. Zero unless this class has the
    /// smallest served share.
    pub(crate) fn worst_class_gain(classes: &[ClassValueTotals], class: usize) -> f64 {
        let Some(this) = classes.get(class).filter(|this| this.demanded > 0.0) else { return 0.0 };
        let is_worst = classes.iter().all(|other| other.served_share() >= this.served_share());
        if is_worst { classes.iter().map(|s| s.demanded).sum::<f64>() / this.demanded } else { 0.0 }
    }
}

/// Running means of the latency and the expected work of a class; zero before the first sample.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassMeans {
    latency_ms: f64,
    cost_ms: f64,
}

impl ClassMeans {
    /// Returns the expected latency of a request with this expected work; `None` before the first answer.
    pub(crate) fn expected_latency_ms(&self, cost_ms: Option<f64>) -> Option<f64> {
        let relative = cost_ms.filter(|_| self.cost_ms > 0.0).map_or(1.0, |cost| cost / self.cost_ms);
        (self.latency_ms > 0.0).then_some(self.latency_ms * relative)
    }

    /// Records the expected work of an arrival.
    pub(crate) fn record_cost(&mut self, cost_ms: f64, gain: f64) {
        update_ewma(&mut self.cost_ms, cost_ms, gain);
    }

    /// Records the latency of an answer, scaled to a request of mean work.
    pub(crate) fn record_latency(&mut self, latency_ms: f64, cost_ms: Option<f64>, gain: f64) {
        let relative = cost_ms.filter(|_| self.cost_ms > 0.0).map_or(1.0, |cost| self.cost_ms / cost);
        update_ewma(&mut self.latency_ms, latency_ms * relative, gain);
    }
}

/// A running median. Each sample moves the median up or down by a fixed share of its value.
#[derive(Clone, Copy, Default)]
pub(crate) struct RunningMedian(f64);

impl RunningMedian {
    /// The share by which each sample moves the median.
    const STEP: f64 = 1.0 / 32.0;

    /// Returns the median; zero before the first sample.
    pub(crate) fn get(self) -> f64 {
        self.0
    }

    /// Records a sample. The first one sets the median.
    pub(crate) fn record(&mut self, sample: f64) {
        let step = if sample > self.0 { 1.0 + Self::STEP } else { 1.0 - Self::STEP };
        self.0 = if self.0 > 0.0 { self.0 * step } else { sample };
    }
}
