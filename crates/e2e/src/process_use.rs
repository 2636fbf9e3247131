//! What a process under test uses of its host.

use crate::BoxError;
use mallowpath_standins::client;
use std::{fs, net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep, timeout};

/// Time within which [`call_until_served`] gets an answer.
const SERVED_LIMIT: Duration = Duration::from_secs(40);

/// The pause after a refusal, and the limit on the time of one call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Time without a change after which a process counts as steady, and the longest wait for that.
const STEADY_TIME: Duration = Duration::from_secs(1);
const STEADY_LIMIT: Duration = Duration::from_secs(20);

/// Returns the largest resident memory that the process `id` has had so far, in KiB.
///
/// # Errors
///
/// Fails when the process has ended.
pub fn peak_memory_kib(id: u32) -> Result<u64, BoxError> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let Some(text) = line else {
        return Err(format!("process {id} has ended").into());
    };
    Ok(text.trim().trim_end_matches(" kB").parse()?)
}

/// Returns the number of descriptors that the process `id` has open.
///
/// # Errors
///
/// Fails when the process has ended.
pub fn open_descriptors(id: u32) -> Result<usize, BoxError> {
    Ok(fs::read_dir(format!("/proc/{id}/fd"))?.count())
}

/// Waits until the memory and the descriptors of the processes `ids` have not changed for a while.
///
/// # Errors
///
/// Fails when a process has ended.
pub async fn wait_until_steady(ids: &[u32]) -> Result<(), BoxError> {
    let deadline = Instant::now() + STEADY_LIMIT;
    let mut last = Vec::new();
    let mut since = Instant::now();
    while since.elapsed() < STEADY_TIME && Instant::now() < deadline {
        let mut used = Vec::new();
        for &id in ids {
            used.push((peak_memory_kib(id)?, open_descriptors(id)?));
        }
        if used != last {
            last = used;
            since = Instant::now();
        }
        sleep(STEADY_TIME / 10).await;
    }
    Ok(())
}

/// Sends a request until it is answered with status 200 and a whole body, which is returned.
///
/// # Errors
///
/// Fails when that does not happen within 40 s, with what was seen last.
pub async fn call_until_served(
    address: SocketAddr,
    method_path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<String, BoxError> {
    let deadline = Instant::now() + SERVED_LIMIT;
    loop {
        let call = client::send_and_read(address, method_path, headers, body);
        let seen = match timeout(CALL_LIMIT, call).await {
            Ok(Ok(answer)) if answer.status == 200 && answer.is_complete => return Ok(answer.text),
            Ok(Ok(answer)) => format!("status {}: {}", answer.status, answer.text),
            Ok(Err(error)) => format!("{error:?}"),
            Err(_) => "no answer".to_owned(),
        };
        if Instant::now() >= deadline {
            return Err(format!("{method_path} is not served, last {seen}").into());
        }
        sleep(RETRY_PAUSE).await;
    }
}
