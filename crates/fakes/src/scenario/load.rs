//! Callers of a scenario, and the records of what they saw.

use std::net;
use std::sync;
use std::time::Duration;

use tokio::task;

use crate::caller;
use crate::fleet;
use crate::scenario::spec;

/// Path of calls to the plain service.
const CALL_PATH: &str = "/orders/confirm";

/// A call as its load made it, with what its caller saw.
#[derive(Clone, Debug)]
pub struct CallEntry {
    /// Load to which it belongs.
    pub load: String,
    /// Operation and whether it had a key, for calls to the plain service.
    pub operation: Option<CallOperation>,
    /// What its caller saw; `None` before its end.
    pub record: Option<caller::CallRecord>,
}

/// The operation of a call.
#[derive(Clone, Debug)]
pub struct CallOperation {
    /// Its name.
    pub name: String,
    /// Whether its name was sent as the idempotency key.
    pub keyed: bool,
}

type SharedCalls = sync::Arc<sync::Mutex<Vec<CallEntry>>>;

/// All calls of a scenario.
#[derive(Debug, Default)]
pub struct CallTable {
    calls: SharedCalls,
    tasks: Vec<CallTask>,
    next_seed: u64,
}

#[derive(Debug)]
struct CallTask {
    load: String,
    task: task::JoinHandle<()>,
}

impl CallTable {
    /// The calls made so far.
    pub fn entries(&self) -> Vec<CallEntry> {
        lock(&self.calls).clone()
    }

    /// Begins to ask prompts.
    pub fn ask(&mut self, load: &spec::PromptLoad, addresses: &[net::SocketAddr]) {
        for address in addresses {
            for _ in 0..load.count {
                self.next_seed += 1;
                let call = caller::PromptCall {
                    model: fleet::MODEL.to_owned(),
                    customer: fleet::CUSTOMER.to_owned(),
                    seed: self.next_seed,
                    prompt_tokens: load.prompt_tokens,
                    max_tokens: load.max_tokens,
                    timeout: Duration::from_millis(load.timeout_ms),
                };
                let address = *address;
                self.begin(&load.name, None, async move {
                    caller::ask(address, &call).await
                });
            }
        }
    }

    /// Begins to call the plain service.
    pub fn call(&mut self, load: &spec::CallLoad, addresses: &[net::SocketAddr]) {
        for index in 0..load.count {
            let name = if load.count == 1 {
                load.operation.clone()
            } else {
                format!("{}-{index}", load.operation)
            };
            for address in addresses {
                let call = caller::OrderCall {
                    method: http::Method::POST,
                    path: CALL_PATH.to_owned(),
                    customer: fleet::CUSTOMER.to_owned(),
                    operation: name.clone(),
                    key: load.keyed.then(|| name.clone()),
                    delay: Duration::from_millis(load.delay_ms),
                    timeout: Duration::from_millis(load.timeout_ms),
                };
                let operation = CallOperation {
                    name: name.clone(),
                    keyed: load.keyed,
                };
                let address = *address;
                self.begin(&load.name, Some(operation), async move {
                    caller::order(address, &call).await
                });
            }
        }
    }

    fn begin(
        &mut self,
        load: &str,
        operation: Option<CallOperation>,
        work: impl Future<Output = caller::CallRecord> + Send + 'static,
    ) {
        let entry = CallEntry {
            load: load.to_owned(),
            operation,
            record: None,
        };
        let calls = self.calls.clone();
        let index = {
            let mut calls = lock(&calls);
            calls.push(entry);
            calls.len() - 1
        };
        let task = tokio::spawn(async move {
            let record = work.await;
            lock(&calls)[index].record = Some(record);
        });
        self.tasks.push(CallTask {
            load: load.to_owned(),
            task,
        });
    }

    /// Waits until all calls of a load have ended.
    pub async fn join(&mut self, load: &str) {
        for entry in self.tasks.iter_mut().filter(|entry| entry.load == load) {
            if entry.task.is_finished() {
                continue;
            }
            // A call that was abandoned has ended too.
            let _ = (&mut entry.task).await;
        }
    }

    /// Closes the connections of a load's callers.
    pub fn abandon(&self, load: &str) {
        for entry in self.tasks.iter().filter(|entry| entry.load == load) {
            entry.task.abort();
        }
    }
}

impl Drop for CallTable {
    fn drop(&mut self) {
        for entry in &self.tasks {
            entry.task.abort();
        }
    }
}

fn lock(calls: &SharedCalls) -> sync::MutexGuard<'_, Vec<CallEntry>> {
    calls.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
