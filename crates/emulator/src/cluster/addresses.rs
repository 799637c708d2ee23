//! Addresses in 127.0.0.0/8: one block of 256 addresses for each cluster.

use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// The maximum number of machines of one kind (control machines, front-end nodes) in a block. Further
/// machines get the address of the last one.
const MAX_MACHINES: u8 = 100;
/// The distance from the public address of a machine to its address behind the relay. With relays, this is
/// also the maximum number of machines of one kind.
const RELAY_OFFSET: u8 = 50;
/// The maximum number of servers in a block. Their last octets are below [`CLAIM_HOST`]. Further servers get
/// the addresses of earlier ones again.
const MAX_SERVERS: usize = 50;
/// The maximum number of blocks that are tried.
const MAX_CLAIM_ATTEMPTS: u16 = 2_000;
/// The last octet of the address of the socket that claims a block.
const CLAIM_HOST: u8 = 254;
/// The port of the socket that claims a block.
const CLAIM_PORT: u16 = 7_700;
/// The first value of the second octet. Lower values are left to other uses of the loopback network.
const MIN_SECOND_OCTET: u16 = 100;
/// The number of values of the second octet.
const SECOND_OCTET_COUNT: u16 = 100;

/// The number of blocks that this process has tried.
static TRIED_BLOCKS: AtomicU16 = AtomicU16::new(0);

/// A block 127.x.y.0/24. A listening socket reserves it against other clusters on this host.
#[derive(Debug)]
pub struct Subnet {
    octets: [u8; 2],
    _claim: TcpListener,
}

impl Subnet {
    /// Claims a free block.
    ///
    /// # Errors
    ///
    /// None of 2,000 blocks is free, or sockets cannot be bound.
    pub fn claim() -> io::Result<Subnet> {
        let mut last_error = io::Error::other("no address block in 127.0.0.0/8 is free");
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            let process_offset = (std::process::id() as u16).wrapping_mul(31);
            let number = process_offset.wrapping_add(TRIED_BLOCKS.fetch_add(1, Ordering::Relaxed))
                % (SECOND_OCTET_COUNT * 256);
            let octets = [(MIN_SECOND_OCTET + number / 256) as u8, (number % 256) as u8];
            match TcpListener::bind((address(octets, CLAIM_HOST), CLAIM_PORT)) {
                Ok(claim) => return Ok(Subnet { octets, _claim: claim }),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// A number that identifies the block.
    pub fn number(&self) -> u16 {
        u16::from_be_bytes(self.octets)
    }

    /// The public address of a control machine.
    pub fn control(&self, index: usize) -> Ipv4Addr {
        self.host(1, index)
    }

    /// The public address of a front-end node.
    pub fn front(&self, index: usize) -> Ipv4Addr {
        self.host(MAX_MACHINES + 1, index)
    }

    /// The address behind the relay of a control machine.
    pub fn control_behind_relay(&self, index: usize) -> Ipv4Addr {
        self.host(1 + RELAY_OFFSET, index)
    }

    /// The address behind the relay of a front-end node.
    pub fn front_behind_relay(&self, index: usize) -> Ipv4Addr {
        self.host(MAX_MACHINES + 1 + RELAY_OFFSET, index)
    }

    /// The address of an emulated server.
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
