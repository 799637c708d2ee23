//! Reads the settings text into [`Settings`] and [`NetworkSettings`].
//!
//! The text has one `path=value` a line. Its keys and words are the operators' and fixed, also where the code has other
//! names for them. Times are milliseconds. Unknown keys are ignored, and of a key that comes twice the last value counts
//! (but see [`load_field_index`]). The simulator's adapter and the sidecar share this reader.
//!
//! A missing key has the default that [`parse`] or [`parse_network_settings`] states, unless it is required. These
//! defaults are those of the text alone. Programs that build [`Settings`] themselves start from [`Settings::default`],
//! which differs in two values: two attempts instead of one, and a tick of 1 ms instead of 5 ms.

use crate::api::{
    DedupScope, Discovery, Idempotency, ObjectiveWeights, Permission, RequestClass, Settings, SlowStart,
    ValueBasis,
};
use std::collections::HashMap;
use std::time::Duration;

/// The longest time that is accepted, in milliseconds: it is added to a clock, which cannot hold any time.
const MAX_TIME_MS: f64 = 1e12;

/// A setting that is required and missing, or that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("setting {key}: {problem}")]
pub struct SettingError {
    key: String,
    problem: String,
}

impl SettingError {
    fn unreadable(key: &str, text: &str) -> Self {
        SettingError { key: key.into(), problem: format!("cannot read {text:?}") }
    }

    fn missing(key: &str) -> Self {
        SettingError { key: key.into(), problem: "missing".into() }
    }
}

/// The settings text by key.
struct KeyValues<'a>(HashMap<&'a str, &'a str>);

impl<'a> KeyValues<'a> {
    fn new(text: &'a str) -> Self {
        KeyValues(text.lines().filter_map(|line| line.trim_end().split_once('=')).collect())
    }

    fn optional<T>(&self, key: &str, read: impl Fn(&str) -> Option<T>) -> Result<Option<T>, SettingError> {
        let Some(text) = self.0.get(key) else { return Ok(None) };
        read(text).map(Some).ok_or_else(|| SettingError::unreadable(key, text))
    }

    fn required<T>(&self, key: &str, read: impl Fn(&str) -> Option<T>) -> Result<T, SettingError> {
        self.optional(key, read)?.ok_or_else(|| SettingError::missing(key))
    }

    fn number(&self, key: &str, default: f64) -> Result<f64, SettingError> {
        Ok(self.optional(key, number)?.unwrap_or(default))
    }

    fn time(&self, key: &str, default: Duration) -> Result<Duration, SettingError> {
        Ok(self.optional(key, time)?.unwrap_or(default))
    }

    fn permission(&self, key: &str) -> Result<Permission, SettingError> {
        let is_granted = self.optional(key, |text| text.parse::<bool>().ok())?.unwrap_or(false);
        Ok(if is_granted { Permission::Granted } else { Permission::Denied })
    }

    /// The items of a list that is separated by commas; none if the key is missing.
    fn list(&self, key: &str) -> Vec<String> {
        let text = self.0.get(key).filter(|text| !text.is_empty());
        text.map_or(Vec::new(), |text| text.split(',').map(String::from).collect())
    }
}

fn number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|n| n.is_finite())
}

fn time(text: &str) -> Option<Duration> {
    let ms = number(text).filter(|ms| *ms <= MAX_TIME_MS)?;
    Duration::try_from_secs_f64(ms / 1e3).ok()
}

/// Counts stay in the range of the indexes that the simulator's wire has for the counted.
fn count(text: &str) -> Option<usize> {
    text.parse::<u16>().ok().map(usize::from)
}

/// Reads the settings of the decision module.
///
/// Required are `zone`, `discovery` (`pushed`, `on_request`), `requestClasses.count` and, for each class, `aim` and
/// `idempotency` (`retryable`, `fragile`, or `dedup`, which needs `group` and `dedupWindow`). The defaults of the others
/// are the careful choice:
///
/// | keys | default |
/// | --- | --- |
/// | `me`, `instances` | 0, 1 |
/// | `policyLimits.cancel`, `policyLimits.probes`, `policyLimits.retryAfter` | `false` |
/// | `policyLimits.mostTries` | 1 |
/// | `policyLimits.keepalive` | 15 s |
/// | `policyLimits.maxRetryAfter`, read only where `policyLimits.retryAfter` is `true` | 0 |
/// | `prices.crossZone`, `prices.probe`, `prices.handshake` | 0 |
/// | `worthBy` (`request`, `work`) | `request` |
/// | `blend.whole`, `blend.worstWindow`, `blend.worstClass` | 1, 0, 0 |
/// | `obligations.mustAskIn`, used only where `discovery` is `on_request` | 10 s |
/// | `obligations.coldFrom`, `obligations.rampTime`, `obligations.fallMultiple` | 0.1, 30 s, 2 |
/// | `tick` | 5 ms |
/// | `report.fields` | no load reports |
/// | of each class: `deadline`, `aimStretch`, `points`, `lateWorth` | 0 (unknown), 0, 1, 0 |
pub fn parse(text: &str) -> Result<Settings, SettingError> {
    let values = KeyValues::new(text);
    let class_count = values.required("requestClasses.count", count)?;
    let tick = values.time("tick", Duration::from_millis(5))?;
    Ok(Settings {
        zone: values.required("zone", |text| text.parse().ok())?,
        sidecar_index: values.optional("me", |text| text.parse().ok())?.unwrap_or(0),
        sidecar_count: values.optional("instances", |text| text.parse().ok())?.unwrap_or(1),
        keep_alive: values.time("policyLimits.keepalive", Duration::from_secs(15))?,
        classes: (0..class_count).map(|index| class(&values, index)).collect::<Result<_, _>>()?,
        value_basis: values.optional("worthBy", value_basis)?.unwrap_or(ValueBasis::PerRequest),
        cross_zone_price: values.number("prices.crossZone", 0.0)?,
        probe_price: values.number("prices.probe", 0.0)?,
        handshake_price: values.number("prices.handshake", 0.0)?,
        is_load_reported: load_field_index(text).is_some(),
        objective: objective(&values)?,
        max_attempts: values.optional("policyLimits.mostTries", count)?.unwrap_or(1),
        cancel: values.permission("policyLimits.cancel")?,
        probes: values.permission("policyLimits.probes")?,
        max_retry_after: match values.permission("policyLimits.retryAfter")? {
            Permission::Granted => Some(values.time("policyLimits.maxRetryAfter", Duration::ZERO)?),
            Permission::Denied => None,
        },
        discovery: discovery(&values)?,
        slow_start: SlowStart {
            initial_capacity: values.number("obligations.coldFrom", 0.1)?,
            ramp_time: values.time("obligations.rampTime", Duration::from_secs(30))?,
            overload_multiple: values.number("obligations.fallMultiple", 2.0)?,
        },
        tick,
    })
}

fn value_basis(text: &str) -> Option<ValueBasis> {
    match text {
        "work" => Some(ValueBasis::PerWork),
        "request" => Some(ValueBasis::PerRequest),
        _ => None,
    }
}

fn objective(values: &KeyValues) -> Result<ObjectiveWeights, SettingError> {
    // The worst stretch of time is unknown until it is over, so its weight goes to the total.
    let total_value = values.number("blend.whole", 1.0)? + values.number("blend.worstWindow", 0.0)?;
    Ok(ObjectiveWeights { total_value, worst_class: values.number("blend.worstClass", 0.0)? })
}

fn discovery(values: &KeyValues) -> Result<Discovery, SettingError> {
    let max_poll_interval = values.time("obligations.mustAskIn", Duration::from_secs(10))?;
    values.required("discovery", |text| match text {
        "pushed" => Some(Discovery::Pushed),
        "on_request" => Some(Discovery::OnRequest { max_poll_interval }),
        _ => None,
    })
}

fn class(values: &KeyValues, index: usize) -> Result<RequestClass, SettingError> {
    let key = |name: &str| format!("requestClasses.{index}.{name}");
    let idempotency = idempotency(values, &key)?;
    Ok(RequestClass {
        latency_target: values.required(&key("aim"), time)?,
        deadline: values.time(&key("deadline"), Duration::ZERO)?,
        latency_target_per_work: values.number(&key("aimStretch"), 0.0)?,
        value: values.number(&key("points"), 1.0)?,
        late_value_share: values.number(&key("lateWorth"), 0.0)?,
        idempotency,
    })
}

fn idempotency(values: &KeyValues, key: &impl Fn(&str) -> String) -> Result<Idempotency, SettingError> {
    let text = values.required(&key("idempotency"), |text| Some(text.to_owned()))?;
    match text.as_str() {
        "retryable" => Ok(Idempotency::Idempotent),
        "dedup" => Ok(Idempotency::Keyed {
            scope: values.required(&key("group"), dedup_scope)?,
            window: values.required(&key("dedupWindow"), time)?,
        }),
        "fragile" => Ok(Idempotency::NonIdempotent),
        other => Err(SettingError::unreadable(&key("idempotency"), other)),
    }
}

fn dedup_scope(text: &str) -> Option<DedupScope> {
    match text {
        "all" => Some(DedupScope::All),
        "zone" => Some(DedupScope::Zone),
        "cell" => Some(DedupScope::Cell),
        _ => None,
    }
}

/// The index of the value of a load report that says how many requests a server has in flight: those that it handles and
/// those that wait (`concurrent`), or else those that wait alone (`depth`). `None` if the text names neither.
///
/// Where `report.fields` comes twice, the first line counts here, and the last one for the name that
/// [`parse_network_settings`] looks up by this index.
pub fn load_field_index(text: &str) -> Option<usize> {
    let fields = text.lines().find_map(|line| line.trim_end().strip_prefix("report.fields="))?;
    let index_of = |name| fields.split(',').position(|field| field == name);
    index_of("concurrent").or_else(|| index_of("depth"))
}

/// What the sidecar's network code needs of the settings besides what the decision module does.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkSettings {
    /// The names of the zones, by index.
    pub zones: Vec<String>,
    /// The names of the kinds of machine, by index.
    pub machine_types: Vec<String>,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// A connection that takes longer to come up has failed. 250 ms by default.
    pub connect_timeout: Duration,
    /// The name of the load report's value that the module asks for; `None` where there are no reports.
    pub load_field_name: Option<String>,
}

/// Reads the part of the settings that the network code needs. Required are `requestClasses.count` and the `name` of each
/// class. By default `areas`, `skus` and `report.fields` are empty, and `policyLimits.connectTimeout` is 250 ms.
pub fn parse_network_settings(text: &str) -> Result<NetworkSettings, SettingError> {
    let values = KeyValues::new(text);
    let class_count = values.required("requestClasses.count", count)?;
    let name = |index| values.required(&format!("requestClasses.{index}.name"), |text| Some(text.to_owned()));
    Ok(NetworkSettings {
        zones: values.list("areas"),
        machine_types: values.list("skus"),
        classes: (0..class_count).map(name).collect::<Result<_, _>>()?,
        connect_timeout: values.time("policyLimits.connectTimeout", Duration::from_millis(250))?,
        load_field_name: load_field_index(text)
            .and_then(|index| values.list("report.fields").get(index).cloned()),
    })
}
