//! Keeps the configuration up to date.

use crate::config_source::ConfigSource;
use crate::coordinator::Coordinator;
use crate::messages::{NewConfig, StoreSeen};
use actix::Addr;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for a change, in milliseconds: bounds how old the configuration may be when the
/// changes are silently dropped.
const WAIT_MS: u64 = 700;
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(200);
/// Looks for changes after which the whole configuration is read anyway.
const LOOKS: u32 = 8;

/// Looks for changes for ever.
pub(crate) async fn run(configs: Rc<dyn ConfigSource>, control: Addr<Coordinator>) {
    let mut cursor = None;
    let mut looks = 0;
    loop {
        let result = configs.next(cursor, WAIT_MS).await;
        match result {
            Ok(update) => {
                looks += 1;
                cursor = (looks % LOOKS != 0).then_some(update.cursor);
                control.do_send(StoreSeen(Ok(())));
                if let Some(config) = update.config {
                    control.do_send(NewConfig(config));
                }
            }
            Err(error) => {
                cursor = None;
                control.do_send(StoreSeen(Err(error)));
                actix_rt::time::sleep(PAUSE).await;
            }
        }
    }
}
