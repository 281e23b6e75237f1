//! Polling of the table for newly accepted tickets.

use crate::control::Control;
use crate::messages::{ConfigReceived, StoreHealth};
use crate::snapshot::Snapshot;
use actix::Addr;
use arc_swap::ArcSwap;
use backing::HttpTable;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Reads the ticket head every `interval` until the control thread ends, and reports the table's
/// health and each new configuration to it.
pub(crate) async fn run(
    control: Addr<Control>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    table: Rc<HttpTable>,
    interval: Duration,
) {
    loop {
        let (mut config, has_config) = {
            let now = snapshot.load();
            (now.config.clone(), now.has_config)
        };
        let result = tickets::catch_up(&*table, &mut config).await;
        control.do_send(StoreHealth { up: result.is_ok() });
        match result {
            Ok(changed) if changed || !has_config => control.do_send(ConfigReceived(config)),
            _ => {}
        }
        if !control.connected() {
            return;
        }
        actix_rt::time::sleep(interval).await;
    }
}
