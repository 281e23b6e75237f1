//! Guards against two concurrent processes, such as test binaries, being given the same port, so that
//! a node of one of them can't bind its address. A check that the port is free is not enough: both
//! processes can make it before either binds the port.

use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command, Stdio};

/// Number of processes that allocate ports concurrently.
const PROCESSES: usize = 60;
/// Number of ports that each process allocates; more than a block holds.
const PORTS_PER_PROCESS: usize = 150;
/// Prefix of the output line that lists a process's ports.
const LINE_PREFIX: &str = "ports:";

/// Body of a child process: allocates ports, prints them, and keeps them until its input is closed.
#[test]
#[ignore = "started in child processes by the test below"]
fn allocate_ports_until_input_closes() {
    let ports = cluster::free_ports(PORTS_PER_PROCESS).unwrap();
    let ports: Vec<String> = ports.iter().map(ToString::to_string).collect();
    println!("\n{LINE_PREFIX}{}", ports.join(","));
    std::io::stdin().read_to_end(&mut Vec::new()).unwrap();
}

/// Starts a child process that runs the ignored test above.
fn spawn_child() -> Child {
    let program = std::env::current_exe().unwrap();
    let args = [
        "--exact",
        "allocate_ports_until_input_closes",
        "--ignored",
        "--nocapture",
    ];
    let mut command = Command::new(program);
    let command = command.args(args).stdin(Stdio::piped());
    command.stdout(Stdio::piped()).spawn().unwrap()
}

/// Reads the ports that a child process has allocated.
fn read_ports(child: &mut Child) -> Vec<SocketAddr> {
    let lines = BufReader::new(child.stdout.as_mut().unwrap()).lines();
    let mut lines = lines.map(Result::unwrap);
    let line = lines.find_map(|line| line.strip_prefix(LINE_PREFIX).map(str::to_owned));
    let line = line.expect("the process prints its ports");
    line.split(',').map(|port| port.parse().unwrap()).collect()
}

#[test]
fn concurrent_processes_never_allocate_the_same_port() {
    let mut children: Vec<Child> = (0..PROCESSES).map(|_| spawn_child()).collect();
    let allocated: Vec<SocketAddr> = children.iter_mut().flat_map(read_ports).collect();
    let distinct: HashSet<&SocketAddr> = allocated.iter().collect();
    for child in &mut children {
        drop(child.stdin.take());
        assert!(child.wait().is_ok());
    }
    assert_eq!(
        distinct.len(),
        PROCESSES * PORTS_PER_PROCESS,
        "ports allocated twice"
    );
    for address in cluster::free_ports(20).unwrap() {
        assert!(TcpListener::bind(address).is_ok(), "{address}");
        assert!(UdpSocket::bind(address).is_ok(), "{address}");
    }
}
