//! Memory of entries, and connections of callers that set it.

use super::flow_fleet::Fleet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Memory that an entry may use unless its settings state another, in kibibytes.
pub const MEMORY_KIB: u64 = 160 * 1_024;
/// Time within which a small request is answered beside a wave of others.
pub const SMALL_REQUEST_LIMIT: Duration = Duration::from_millis(1_000);
/// Time for which a client tries to send more.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);

/// Field of the status of an entry's process, in kibibytes; the entry must not have ended.
pub fn status_kib(fleet: &mut Fleet, entry: usize, field: &str) -> u64 {
    let child = &mut fleet.entries[entry].1.process.child;
    assert!(child.try_wait().unwrap().is_none(), "an entry has ended");
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
    let value = status.lines().find_map(|line| line.strip_prefix(field));
    let value = value.and_then(|value| value.split_whitespace().nth(1)?.parse().ok());
    value.expect("the memory of the process is known")
}

/// Asserts that no entry has ended or has used more than its memory.
pub fn assert_entries_keep_their_memory(fleet: &mut Fleet) {
    assert_peaks_are_below(fleet, MEMORY_KIB);
}

/// Asserts that no entry has ended or has used `limit_kib` or more.
pub fn assert_peaks_are_below(fleet: &mut Fleet, limit_kib: u64) {
    for entry in 0..fleet.entries.len() {
        let peak_kib = status_kib(fleet, entry, "VmHWM");
        println!("entry {entry}: peak {peak_kib} KiB");
        assert!(peak_kib < limit_kib, "an entry used {peak_kib} KiB");
    }
}

/// Asserts that no entry has ended or has used `limit_kib` or more besides the pages of its program's
/// file, whose number depends on the build and the processor.
pub fn assert_own_peaks_are_below(fleet: &mut Fleet, limit_kib: u64) {
    for entry in 0..fleet.entries.len() {
        let peak_kib = status_kib(fleet, entry, "VmHWM");
        let file_kib = status_kib(fleet, entry, "RssFile");
        let own_kib = peak_kib.saturating_sub(file_kib);
        println!("entry {entry}: peak {peak_kib} KiB, {file_kib} KiB of them of its file");
        assert!(
            own_kib < limit_kib,
            "an entry used {own_kib} KiB of its own"
        );
    }
}

/// Opens a connection and sends as much of `bytes` as the server takes.
fn send_part(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut connection = TcpStream::connect(address).unwrap();
    connection.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
    let mut sent = 0;
    while sent < bytes.len() {
        match connection.write(&bytes[sent..]) {
            Ok(0) | Err(_) => break,
            Ok(more) => sent += more,
        }
    }
    connection
}

/// Opens `count` connections at once and sends a part of a request on each.
pub fn send_parts(address: SocketAddr, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    const THREADS: usize = 20;
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| {
                let own = count / THREADS + usize::from(thread < count % THREADS);
                scope.spawn(move || {
                    let sent = (0..own).map(|_| send_part(address, bytes));
                    sent.collect::<Vec<_>>()
                })
            })
            .collect();
        let opened = threads.into_iter().map(|thread| thread.join().unwrap());
        opened.flatten().collect()
    })
}
