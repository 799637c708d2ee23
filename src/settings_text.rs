//! Reads the settings text into [`Settings`] and [`NetworkSettings`].
//!
//! The text has one `path=value` pair per line. Its keys and its named values are part of the operators'
//! interface and must not change, even where the code uses other names. Times are in milliseconds. Unknown
//! keys are ignored, and if a key occurs twice, its last value applies (but see [`load_field_index`]). The
//! simulator's adapter and the sidecar share this parser.
//!
//! A missing key has the default that [`parse`] or [`parse_network_settings`] states, unless it is required.
//! These defaults are those of the text alone. Programs that build [`Settings`] themselves start from
//! [`Settings::default`], which differs in two values: two attempts instead of one, and a tick of 1 ms
//! instead of 5 ms.

use crate::api::{
    DedupScope, Discovery, Idempotency, ObjectiveWeights, Permission, RequestClass, Settings, SlowStart,
    ValueBasis,
};
use std::collections::HashMap;
use std::time::Duration;

/// The longest accepted time, in milliseconds. Times are added to a clock reading, whose range is limited.
const MAX_TIME_MS: f64 = 1e12;

/// A required setting is missing, or a setting has an invalid value.
#[derive(Debug, thiserror::Error)]
#[error("setting {key}: {problem}")]
pub struct SettingError {
    key: String,
    problem: String,
}

impl SettingError {
    fn invalid(key: &str, text: &str) -> Self {
        SettingError { key: key.into(), problem: format!("cannot read {text:?}") }
    }

    fn missing(key: &str) -> Self {
        SettingError { key: key.into(), problem: "missing".into() }
    }
}

/// The values of the settings text, by key.
struct KeyValues<'a>(HashMap<&'a str, &'a str>);

impl<'a> KeyValues<'a> {
    fn new(text: &'a str) -> Self {
        KeyValues(text.lines().filter_map(|line| line.trim_end().split_once('=')).collect())
    }

    fn optional<T>(&self, key: &str, parse: impl Fn(&str) -> Option<T>) -> Result<Option<T>, SettingError> {
        let Some(text) = self.0.get(key) else { return Ok(None) };
        parse(text).map(Some).ok_or_else(|| SettingError::invalid(key, text))
    }

    fn required<T>(&self, key: &str, parse: impl Fn(&str) -> Option<T>) -> Result<T, SettingError> {
        self.optional(key, parse)?.ok_or_else(|| SettingError::missing(key))
    }

    fn number(&self, key: &str, default: f64) -> Result<f64, SettingError> {
        Ok(self.optional(key, parse_number)?.unwrap_or(default))
    }

    fn time(&self, key: &str, default: Duration) -> Result<Duration, SettingError> {
        Ok(self.optional(key, parse_duration)?.unwrap_or(default))
    }

    fn permission(&self, key: &str) -> Result<Permission, SettingError> {
        let is_granted = self.optional(key, |text| text.parse::<bool>().ok())?.unwrap_or(false);
        Ok(if is_granted { Permission::Granted } else { Permission::Denied })
    }

    /// Returns the items of a comma-separated list; empty if the key is missing.
    fn list(&self, key: &str) -> Vec<String> {
        let text = self.0.get(key).filter(|text| !text.is_empty());
        text.map_or(Vec::new(), |text| text.split(',').map(String::from).collect())
    }
}

fn parse_number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|n| n.is_finite())
}

fn parse_duration(text: &str) -> Option<Duration> {
    let ms = parse_number(text).filter(|ms| *ms <= MAX_TIME_MS)?;
    Duration::try_from_secs_f64(ms / 1e3).ok()
}

/// Parses a count. Counts are limited to `u16`, the type of the indexes in the simulator's wire format.
fn parse_count(text: &str) -> Option<usize> {
    text.parse::<u16>().ok().map(usize::from)
}

/// Parses the settings of the decision module.
///
/// Required are `zone`, `discovery` (`pushed`, `on_request`), `requestClasses.count` and, for each class,
/// `aim` and `idempotency` (`retryable`, `fragile`, or `dedup`, which needs `group` and `dedupWindow`). The
/// other keys have conservative defaults:
///
/// | keys | default |
/// | --- | --- |
/// | `me`, `instances` | 0, 1 |
/// | `policyLimits.cancel`, `policyLimits.probes`, `policyLimits.retryAfter` | `false` |
/// | `policyLimits.mostTries` | 1 |
/// | `policyLimits.keepalive` | 15 s |
/// | `policyLimits.maxRetryAfter`, read only if `policyLimits.retryAfter` is `true` | 0 |
/// | `prices.crossZone`, `prices.probe`, `prices.handshake` | 0 |
/// | `worthBy` (`request`, `work`) | `request` |
/// | `blend.whole`, `blend.worstWindow`, `blend.worstClass` | 1, 0, 0 |
/// | `obligations.mustAskIn`, used only if `discovery` is `on_request` | 10 s |
/// | `obligations.coldFrom`, `obligations.rampTime`, `obligations.fallMultiple` | 0.1, 30 s, 2 |
/// | `tick` | 5 ms |
/// | `report.fields` | no load reports |
/// | for each class: `deadline`, `aimStretch`, `points`, `lateWorth` | 0 (unknown), 0, 1, 0 |
pub fn parse(text: &str) -> Result<Settings, SettingError> {
    let values = KeyValues::new(text);
    let class_count = values.required("requestClasses.count", parse_count)?;
    let tick = values.time("tick", Duration::from_millis(5))?;
    Ok(Settings {
        zone: values.required("zone", |text| text.parse().ok())?,
        sidecar_index: values.optional("me", |text| text.parse().ok())?.unwrap_or(0),
        sidecar_count: values.optional("instances", |text| text.parse().ok())?.unwrap_or(1),
        keep_alive: values.time("policyLimits.keepalive", Duration::from_secs(15))?,
        classes: (0..class_count).map(|index| parse_class(&values, index)).collect::<Result<_, _>>()?,
        value_basis: values.optional("worthBy", parse_value_basis)?.unwrap_or(ValueBasis::PerRequest),
        cross_zone_price: values.number("prices.crossZone", 0.0)?,
        probe_price: values.number("prices.probe", 0.0)?,
        handshake_price: values.number("prices.handshake", 0.0)?,
        is_load_reported: load_field_index(text).is_some(),
        objective: parse_objective(&values)?,
        max_attempts: values.optional("policyLimits.mostTries", parse_count)?.unwrap_or(1),
        cancel: values.permission("policyLimits.cancel")?,
        probes: values.permission("policyLimits.probes")?,
        max_retry_after: match values.permission("policyLimits.retryAfter")? {
            Permission::Granted => Some(values.time("policyLimits.maxRetryAfter", Duration::ZERO)?),
            Permission::Denied => None,
        },
        discovery: parse_discovery(&values)?,
        slow_start: SlowStart {
            initial_capacity: values.number("obligations.coldFrom", 0.1)?,
            ramp_time: values.time("obligations.rampTime", Duration::from_secs(30))?,
            overload_multiple: values.number("obligations.fallMultiple", 2.0)?,
        },
        tick,
    })
}

fn parse_value_basis(text: &str) -> Option<ValueBasis> {
    match text {
        "work" => Some(ValueBasis::PerWork),
        "request" => Some(ValueBasis::PerRequest),
        _ => None,
    }
}

fn parse_objective(values: &KeyValues) -> Result<ObjectiveWeights, SettingError> {
    // Which time window is the worst one is known only afterwards, so its weight is added to the total.
    let total_value = values.number("blend.whole", 1.0)? + values.number("blend.worstWindow", 0.0)?;
    Ok(ObjectiveWeights { total_value, worst_class: values.number("blend.worstClass", 0.0)? })
}

fn parse_discovery(values: &KeyValues) -> Result<Discovery, SettingError> {
    let max_poll_interval = values.time("obligations.mustAskIn", Duration::from_secs(10))?;
    values.required("discovery", |text| match text {
        "pushed" => Some(Discovery::Pushed),
        "on_request" => Some(Discovery::OnRequest { max_poll_interval }),
        _ => None,
    })
}

fn parse_class(values: &KeyValues, index: usize) -> Result<RequestClass, SettingError> {
    let key = |name: &str| format!("requestClasses.{index}.{name}");
    let idempotency = parse_idempotency(values, &key)?;
    Ok(RequestClass {
        latency_target: values.required(&key("aim"), parse_duration)?,
        deadline: values.time(&key("deadline"), Duration::ZERO)?,
        latency_target_per_work: values.number(&key("aimStretch"), 0.0)?,
        value: values.number(&key("points"), 1.0)?,
        late_value_share: values.number(&key("lateWorth"), 0.0)?,
        idempotency,
    })
}

fn parse_idempotency(values: &KeyValues, key: &impl Fn(&str) -> String) -> Result<Idempotency, SettingError> {
    let text = values.required(&key("idempotency"), |text| Some(text.to_owned()))?;
    match text.as_str() {
        "retryable" => Ok(Idempotency::Idempotent),
        "dedup" => Ok(Idempotency::Keyed {
            scope: values.required(&key("group"), parse_dedup_scope)?,
            window: values.required(&key("dedupWindow"), parse_duration)?,
        }),
        "fragile" => Ok(Idempotency::NonIdempotent),
        other => Err(SettingError::invalid(&key("idempotency"), other)),
    }
}

fn parse_dedup_scope(text: &str) -> Option<DedupScope> {
    match text {
        "all" => Some(DedupScope::All),
        "zone" => Some(DedupScope::Zone),
        "cell" => Some(DedupScope::Cell),
        _ => None,
    }
}

/// Returns the index, within a load report, of the number of requests that a server has in flight:
/// `concurrent` (requests being executed and queued) if the report has it, otherwise `depth` (queued requests
/// only). `None` if `report.fields` names neither.
///
/// If `report.fields` occurs twice, the first line applies here, while [`parse_network_settings`] looks up
/// the name at this index in the last line.
pub fn load_field_index(text: &str) -> Option<usize> {
    let fields = text.lines().find_map(|line| line.trim_end().strip_prefix("report.fields="))?;
    let index_of = |name| fields.split(',').position(|field| field == name);
    index_of("concurrent").or_else(|| index_of("depth"))
}

/// The settings that the sidecar's network code needs in addition to those of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkSettings {
    /// The names of the zones, by index.
    pub zones: Vec<String>,
    /// The names of the machine types, by index.
    pub machine_types: Vec<String>,
    /// The names of the request classes, by index.
    pub classes: Vec<String>,
    /// The time within which a connection must be established. 250 ms by default.
    pub connect_timeout: Duration,
    /// The name of the load report's field that the decision module uses; `None` if there are no load
    /// reports.
    pub load_field_name: Option<String>,
}

/// Parses the settings that the network code needs. Required are `requestClasses.count` and the `name` of
/// each class. By default `areas`, `skus` and `report.fields` are empty, and `policyLimits.connectTimeout` is
/// 250 ms.
pub fn parse_network_settings(text: &str) -> Result<NetworkSettings, SettingError> {
    let values = KeyValues::new(text);
    let class_count = values.required("requestClasses.count", parse_count)?;
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
