//! Addresses in 127.0.0.0/8, one block for each cluster.

use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Machines of one kind in a block.
const MAX_MACHINES: u8 = 100;
/// Between the address of a machine and the one behind its relay; no block has more machines of a kind with relays.
const RELAY_OFFSET: u8 = 50;
/// Servers of a block: up to the host that claims it.
const MAX_SERVERS: usize = 50;
/// Blocks that are tried before giving up.
const MAX_CLAIM_ATTEMPTS: u16 = 2_000;
/// The host part and port of the socket that holds a block.
const CLAIM_HOST: u8 = 254;
const CLAIM_PORT: u16 = 7_700;
/// The first second octet that is used; lower ones are left to others.
const FIRST_OCTET: u16 = 100;
const OCTETS: u16 = 100;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// A block 127.x.y.0/24, held against other clusters on this box by a listening socket.
#[derive(Debug)]
pub struct Subnet {
    octets: [u8; 2],
    _claim: TcpListener,
}

impl Subnet {
    /// Claims a block that is free.
    pub fn claim() -> io::Result<Subnet> {
        let mut last = io::Error::other("no block of addresses is free");
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            let own = (std::process::id() as u16).wrapping_mul(31);
            let number = own.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % (OCTETS * 256);
            let octets = [(FIRST_OCTET + number / 256) as u8, (number % 256) as u8];
            match TcpListener::bind((address(octets, CLAIM_HOST), CLAIM_PORT)) {
                Ok(claim) => return Ok(Subnet { octets, _claim: claim }),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Tells blocks apart.
    pub fn number(&self) -> u16 {
        u16::from_be_bytes(self.octets)
    }

    /// A control machine.
    pub fn control(&self, index: usize) -> Ipv4Addr {
        self.host(1, index)
    }

    /// A front.
    pub fn front(&self, index: usize) -> Ipv4Addr {
        self.host(MAX_MACHINES + 1, index)
    }

    /// Where the processes of a control machine listen if others reach it through a relay.
    pub fn control_behind_relay(&self, index: usize) -> Ipv4Addr {
        self.host(1 + RELAY_OFFSET, index)
    }

    /// The same of a front.
    pub fn front_behind_relay(&self, index: usize) -> Ipv4Addr {
        self.host(MAX_MACHINES + 1 + RELAY_OFFSET, index)
    }

    /// A server beside the machines.
    pub fn server(&self, index: usize) -> Ipv4Addr {
        self.host(2 * MAX_MACHINES + 1, index % MAX_SERVERS)
    }

    fn host(&self, first: u8, index: usize) -> Ipv4Addr {
        let index = u8::try_from(index).unwrap_or(MAX_MACHINES - 1).min(MAX_MACHINES - 1);
        address(self.octets, first + index)
    }
}

fn address(octets: [u8; 2], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, octets[0], octets[1], host)
}
