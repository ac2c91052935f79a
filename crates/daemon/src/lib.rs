//! The daemon: settings, the tasks that own sockets, the proxy, the admin API, logs and metrics.
