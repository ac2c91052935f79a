//! The daemon `damaskwickd` as a library: settings, the tasks that own sockets, the proxy, the admin
//! API, logs and metrics. Decisions are made in `dw_mesh` and `dw_request`; this crate moves bytes.

mod settings;

pub use settings::{
    LogFormat, LogLevel, LogSettings, PresetName, ProcessLimits, Settings, TargetSettings,
    parse_settings,
};
