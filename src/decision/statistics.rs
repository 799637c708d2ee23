//! Running statistics: averages, decaying counts, and how much of each class's demand is served.

/// Moves an exponentially weighted mean towards a sample. The first sample sets it: zero means that there was none.
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
    /// Starts at zero.
    pub(crate) fn new(now_ms: f64) -> Self {
        DecayingCount { count: 0.0, updated_at_ms: now_ms }
    }

    /// The count as of now.
    pub(crate) fn at(&self, now_ms: f64, time_constant_ms: f64) -> f64 {
        self.count * (-(now_ms - self.updated_at_ms) / time_constant_ms).exp()
    }

    /// Counts one more event, now.
    pub(crate) fn increment(&mut self, now_ms: f64, time_constant_ms: f64) {
        *self = DecayingCount { count: self.at(now_ms, time_constant_ms) + 1.0, updated_at_ms: now_ms };
    }
}

/// The value demanded of a class and the value served, both decayed by the number of requests.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassService {
    pub(crate) demanded: f64,
    pub(crate) served: f64,
}

impl ClassService {
    /// Fades both by one request of any class.
    pub(crate) fn decay(&mut self, gain: f64) {
        self.demanded *= 1.0 - gain;
        self.served *= 1.0 - gain;
    }

    fn served_share(&self) -> f64 {
        if self.demanded > 0.0 { self.served / self.demanded } else { 1.0 }
    }

    /// What a unit of value served to this class adds to the smallest served share of all classes, relative to what it
    /// adds to the share of all value: zero unless this class has the smallest share.
    pub(crate) fn worst_class_gain(classes: &[ClassService], class: usize) -> f64 {
        let Some(this) = classes.get(class).filter(|this| this.demanded > 0.0) else { return 0.0 };
        let is_worst = classes.iter().all(|other| other.served_share() >= this.served_share());
        if is_worst { classes.iter().map(|s| s.demanded).sum::<f64>() / this.demanded } else { 0.0 }
    }
}

/// Running means of the answers and the expected work of a class; zero before the first.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassMeans {
    latency_ms: f64,
    cost_ms: f64,
}

impl ClassMeans {
    /// The mean latency of a request with this expected work, if any answer was seen.
    pub(crate) fn expected_latency_ms(&self, cost_ms: Option<f64>) -> Option<f64> {
        let relative = cost_ms.filter(|_| self.cost_ms > 0.0).map_or(1.0, |cost| cost / self.cost_ms);
        (self.latency_ms > 0.0).then_some(self.latency_ms * relative)
    }

    /// Records the expected work of an arrival.
    pub(crate) fn record_cost(&mut self, cost_ms: f64, gain: f64) {
        update_ewma(&mut self.cost_ms, cost_ms, gain);
    }

    /// Records an answer, as if its request had been one of mean work.
    pub(crate) fn record_latency(&mut self, latency_ms: f64, cost_ms: Option<f64>, gain: f64) {
        let relative = cost_ms.filter(|_| self.cost_ms > 0.0).map_or(1.0, |cost| self.cost_ms / cost);
        update_ewma(&mut self.latency_ms, latency_ms * relative, gain);
    }
}

/// A running median: it moves by a fixed share of itself towards the side of each sample.
#[derive(Clone, Copy, Default)]
pub(crate) struct RunningMedian(f64);

impl RunningMedian {
    /// The share by which it moves with each sample.
    const STEP: f64 = 1.0 / 32.0;

    /// The median; zero before the first sample.
    pub(crate) fn get(self) -> f64 {
        self.0
    }

    /// Records a sample. The first one sets the median.
    pub(crate) fn record(&mut self, sample: f64) {
        let step = if sample > self.0 { 1.0 + Self::STEP } else { 1.0 - Self::STEP };
        self.0 = if self.0 > 0.0 { self.0 * step } else { sample };
    }
}
