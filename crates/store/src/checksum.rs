//! CRC-32C (Castagnoli), reflected, as in RFC 3720 (iSCSI).

/// The polynomial 0x1EDC6F41 with its bits reversed.
const POLYNOMIAL: u32 = 0x82f6_3b78;
/// The CRC remainder of each byte value, for table-driven computation one byte at a time.
const TABLE: [u32; 256] = table();

const fn table() -> [u32; 256] {
    let mut table = [0; 256];
    let mut byte = 0;
    while byte < table.len() {
        table[byte] = remainder(byte as u32);
        byte += 1;
    }
    table
}

const fn remainder(byte: u32) -> u32 {
    let mut value = byte;
    let mut bit = 0;
    while bit < 8 {
        let carry = value & 1;
        value >>= 1;
        if carry == 1 {
            value ^= POLYNOMIAL;
        }
        bit += 1;
    }
    value
}

/// Returns the CRC-32C of the concatenation of `slices`.
pub fn crc32c(slices: &[&[u8]]) -> u32 {
    let mut state = u32::MAX;
    for slice in slices {
        for byte in *slice {
            let index = (state ^ u32::from(*byte)) & 0xff;
            state = (state >> 8) ^ TABLE[index as usize];
        }
    }
    !state
}
