use dw_daemon::{ORDER_PREFIX, STATE_PREFIX};
use dw_platform::{Commit, Guard, Platform, PlatformError, Put, Txn};
use dw_request::{RolloutOrder, RolloutState};
use dw_tables::{Name, Tables};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value as Json, json};

use crate::{
    Admin, Console, Edit, Exit, Failure, RolloutArgs, RolloutCommand, RolloutStartArgs,
    store::{read_head, read_version, retry},
};

/// A value of the platform with the revision of its key; 0 if the key does not exist.
struct Stored<T> {
    value: Option<T>,
    revision: u64,
}

/// Orders a rollout, changes the order, or shows how rollouts stand.
///
/// # Errors
/// The platform cannot be read or written, or the order is refused: an unknown service, no target of the
/// version, or another rollout of the service that runs.
pub async fn rollout<P: Platform, A: Admin>(
    args: &RolloutArgs,
    edit: &Edit,
    platform: &P,
    admin: &A,
    console: &mut Console,
) -> Result<Json, Failure> {
    match args.command.as_ref() {
        Some(RolloutCommand::Start(args)) => start(args, edit, platform, admin, console).await,
        Some(RolloutCommand::Status(args)) => {
            status(&Name::new(&args.service), platform, console).await
        }
        Some(RolloutCommand::Pause(args)) => {
            let change = |order| RolloutOrder { paused: true, ..order };
            update(&Name::new(&args.service), platform, console, "paused", change).await
        }
        Some(RolloutCommand::Resume(args)) => {
            let change = |order| RolloutOrder { paused: false, ..order };
            update(&Name::new(&args.service), platform, console, "resumed", change).await
        }
        Some(RolloutCommand::Abort(args)) => {
            let change = |order| RolloutOrder { aborted: true, ..order };
            update(&Name::new(&args.service), platform, console, "aborted", change).await
        }
        None => Err(usage("start, status, pause, resume or abort is missing")),
    }
}

fn usage(message: &str) -> Failure {
    Failure::new(Exit::Usage, format!("damaskwick: {message}; see damaskwick rollout --help"))
}

fn refused(message: String) -> Failure {
    Failure::new(Exit::Refused, message)
}

async fn start<P: Platform, A: Admin>(
    args: &RolloutStartArgs,
    edit: &Edit,
    platform: &P,
    admin: &A,
    console: &mut Console,
) -> Result<Json, Failure> {
    let (service, version) = (Name::new(&args.service), Name::new(&args.version));
    check_service(platform, &service).await?;
    for addr in &args.daemon {
        let found = admin.versions(*addr, &service).await;
        let found = found.map_err(|e| Failure::new(Exit::Failed, e.to_string()))?;
        if !found.contains(&version) {
            let list: Vec<_> = found.iter().map(Name::as_str).collect();
            let list = if list.is_empty() { "none".to_owned() } else { list.join(", ") };
            return Err(refused(format!(
                "no target of {service} has version {version}; known versions: {list}"
            )));
        }
    }
    let old: Stored<RolloutOrder> = read(platform, ORDER_PREFIX, &service).await?;
    let state: Stored<RolloutState> = read(platform, STATE_PREFIX, &service).await?;
    if let Some(order) = &old.value {
        let known = state.value.as_ref().filter(|state| state.is_of(order));
        let runs = known.is_none_or(|state| state.step.is_running());
        if runs && !order.aborted {
            return Err(refused(format!(
                "the rollout of {service} to {} has not ended; abort it first",
                order.version
            )));
        }
    }
    let order = RolloutOrder {
        id: edit.time,
        version,
        duration: args.within.get(),
        paused: false,
        aborted: false,
    };
    write(platform, &service, old.revision, &order).await?;
    console.print_line(&format!("ordered: {service} to {} within {}", order.version, args.within));
    Ok(json!({ "service": service, "order": order }))
}

/// Checks that a pool of the newest version uses the service.
async fn check_service<P: Platform>(platform: &P, service: &Name) -> Result<(), Failure> {
    let head = read_head(platform).await?;
    let tables: Tables = read_version(platform, &head, head.number()).await?;
    if tables.pools.iter().any(|pool| pool.service == *service) {
        return Ok(());
    }
    let known: Vec<_> = tables.pools.iter().map(|pool| pool.service.as_str()).collect();
    let known = if known.is_empty() { "none".to_owned() } else { known.join(", ") };
    Err(refused(format!("no pool has the service {service}; known services: {known}")))
}

async fn status<P: Platform>(
    service: &Name,
    platform: &P,
    console: &mut Console,
) -> Result<Json, Failure> {
    let order: Stored<RolloutOrder> = read(platform, ORDER_PREFIX, service).await?;
    let state: Stored<RolloutState> = read(platform, STATE_PREFIX, service).await?;
    let line = match (&order.value, &state.value) {
        (Some(order), Some(state)) if state.is_of(order) => {
            let paused = if order.paused { ", paused" } else { "" };
            format!("{service} to {}: {}{paused}", state.version, state.step.as_str())
        }
        (Some(order), _) => format!("{service} to {}: not begun", order.version),
        (None, Some(state)) => {
            format!("{service} to {}: {}", state.version, state.step.as_str())
        }
        (None, None) => format!("{service}: no rollout was ordered"),
    };
    console.print_line(&line);
    Ok(json!({ "service": service, "order": order.value, "state": state.value }))
}

async fn update<P: Platform>(
    service: &Name,
    platform: &P,
    console: &mut Console,
    done: &str,
    change: impl FnOnce(RolloutOrder) -> RolloutOrder,
) -> Result<Json, Failure> {
    let old: Stored<RolloutOrder> = read(platform, ORDER_PREFIX, service).await?;
    let state: Stored<RolloutState> = read(platform, STATE_PREFIX, service).await?;
    let Some(order) = old.value else {
        return Err(refused(format!("no rollout of {service} was ordered")));
    };
    let ended = state.value.filter(|state| state.is_of(&order) && !state.step.is_running());
    if let Some(state) = ended {
        return Err(refused(format!(
            "the rollout of {service} to {} has ended: {}",
            state.version,
            state.step.as_str()
        )));
    }
    let order = change(order);
    write(platform, service, old.revision, &order).await?;
    console.print_line(&format!("{done}: {service} to {}", order.version));
    Ok(json!({ "service": service, "order": order }))
}

async fn read<P: Platform, T: DeserializeOwned>(
    platform: &P,
    prefix: &str,
    service: &Name,
) -> Result<Stored<T>, Failure> {
    let key = format!("{prefix}{service}");
    let Some(entry) = retry(|| platform.get(&key)).await? else {
        return Ok(Stored { value: None, revision: 0 });
    };
    let value = serde_json::from_slice(&entry.value);
    let value = value.map_err(|e| {
        Failure::new(Exit::Failed, format!("{key} in the platform is damaged: {e}"))
    })?;
    Ok(Stored { value: Some(value), revision: entry.revision })
}

/// Writes an order unless it has changed since it was read.
async fn write<P: Platform>(
    platform: &P,
    service: &Name,
    revision: u64,
    order: &(impl Serialize + Sync),
) -> Result<(), Failure> {
    let key = format!("{ORDER_PREFIX}{service}");
    let value = serde_json::to_vec(order)
        .map_err(|e| Failure::new(Exit::Failed, format!("the order cannot be written: {e}")))?;
    let txn = Txn {
        guards: vec![Guard { key: key.clone(), revision }],
        puts: vec![Put { key, value: value.into(), lease: None }],
        deletes: Vec::new(),
    };
    match platform.commit(txn).await {
        Ok(Commit::Done { .. }) => Ok(()),
        Ok(Commit::Conflict { .. }) => {
            Err(Failure::new(Exit::Stale, format!("the order for {service} has just changed")))
        }
        // The response may have been lost after the write took effect.
        Err(error @ PlatformError::Unanswered) => {
            Err(Failure::new(Exit::Unknown, error.to_string()))
        }
        Err(error) => Err(error.into()),
    }
}
