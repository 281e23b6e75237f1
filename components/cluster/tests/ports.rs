//! Ports that processes choose at the same time.

use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command, Stdio};

/// Processes that choose ports at once.
const PROCESSES: usize = 60;
/// Ports that each chooses.
const PORTS: usize = 150;
/// Marks the line with a process's ports.
const MARK: &str = "ports:";

/// Chooses ports, prints them and keeps them until its input ends.
#[test]
#[ignore = "run by the test below, in processes of its own"]
fn choose_and_wait() {
    let ports = cluster::free_ports(PORTS).unwrap();
    let ports: Vec<String> = ports.iter().map(ToString::to_string).collect();
    println!("\n{MARK}{}", ports.join(","));
    std::io::stdin().read_to_end(&mut Vec::new()).unwrap();
}

fn chooser() -> Child {
    let program = std::env::current_exe().unwrap();
    let args = ["--exact", "choose_and_wait", "--ignored", "--nocapture"];
    let mut command = Command::new(program);
    let command = command.args(args).stdin(Stdio::piped());
    command.stdout(Stdio::piped()).spawn().unwrap()
}

fn ports_of(child: &mut Child) -> Vec<SocketAddr> {
    let lines = BufReader::new(child.stdout.as_mut().unwrap()).lines();
    let mut lines = lines.map(Result::unwrap);
    let line = lines.find_map(|line| line.strip_prefix(MARK).map(str::to_owned));
    let line = line.expect("the process prints its ports");
    line.split(',').map(|port| port.parse().unwrap()).collect()
}

#[test]
fn processes_that_choose_at_once_never_choose_the_same_port() {
    let mut children: Vec<Child> = (0..PROCESSES).map(|_| chooser()).collect();
    let chosen: Vec<SocketAddr> = children.iter_mut().flat_map(ports_of).collect();
    let distinct: HashSet<&SocketAddr> = chosen.iter().collect();
    for child in &mut children {
        drop(child.stdin.take());
        assert!(child.wait().is_ok());
    }
    assert_eq!(distinct.len(), PROCESSES * PORTS, "ports chosen twice");
    for address in cluster::free_ports(20).unwrap() {
        assert!(TcpListener::bind(address).is_ok(), "{address}");
        assert!(UdpSocket::bind(address).is_ok(), "{address}");
    }
}
