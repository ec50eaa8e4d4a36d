//! Which node borrows the quotas of the others: the first by a hash of its control address.
//!
//! The nodes rank themselves by bytes 16 to 24 (first half of each quota) and 24 to 32 (second half) of
//! the BLAKE3 hash of the address as text. A case needs the order to stop that node, and to have the clients on another one.

use std::net::SocketAddr;

const IV: [u32; 8] = [
    0x6A09_E667,
    0xBB67_AE85,
    0x3C6E_F372,
    0xA54F_F53A,
    0x510E_527F,
    0x9B05_688C,
    0x1F83_D9AB,
    0x5BE0_CD19,
];

const PERMUTATION: [usize; 16] = [2, 6, 3, 10, 7, 0, 4, 13, 1, 11, 12, 5, 9, 14, 15, 8];

/// Start and end of the only chunk, which is the root.
const FLAGS: u32 = 1 | 2 | 8;

/// Indices of the addresses in the order in which their nodes borrow a half of the quotas.
pub fn order_for_half(controls: &[SocketAddr], half: usize) -> Vec<usize> {
    let rank = |index: &usize| {
        let hash = blake3_of_block(controls[*index].to_string().as_bytes());
        let from = 16 + 8 * half;
        <[u8; 8]>::try_from(&hash[from..from + 8]).unwrap()
    };
    let mut order: Vec<usize> = (0..controls.len()).collect();
    order.sort_by_key(rank);
    order
}

/// BLAKE3 of an input of one block, 64 bytes at most.
fn blake3_of_block(input: &[u8]) -> [u8; 32] {
    let mut block = [0; 64];
    block[..input.len()].copy_from_slice(input);
    let mut words = [0; 16];
    for (word, bytes) in words.iter_mut().zip(block.chunks_exact(4)) {
        *word = u32::from_le_bytes(bytes.try_into().unwrap());
    }
    let mut state = [0; 16];
    state[..8].copy_from_slice(&IV);
    state[8..12].copy_from_slice(&IV[..4]);
    state[14] = input.len() as u32;
    state[15] = FLAGS;
    for round in 0..7 {
        mix_all(&mut state, &words);
        if round < 6 {
            words = PERMUTATION.map(|place| words[place]);
        }
    }
    let mut hash = [0; 32];
    for (index, bytes) in hash.chunks_exact_mut(4).enumerate() {
        bytes.copy_from_slice(&(state[index] ^ state[index + 8]).to_le_bytes());
    }
    hash
}

fn mix_all(state: &mut [u32; 16], words: &[u32; 16]) {
    mix(state, [0, 4, 8, 12], words[0], words[1]);
    mix(state, [1, 5, 9, 13], words[2], words[3]);
    mix(state, [2, 6, 10, 14], words[4], words[5]);
    mix(state, [3, 7, 11, 15], words[6], words[7]);
    mix(state, [0, 5, 10, 15], words[8], words[9]);
    mix(state, [1, 6, 11, 12], words[10], words[11]);
    mix(state, [2, 7, 8, 13], words[12], words[13]);
    mix(state, [3, 4, 9, 14], words[14], words[15]);
}

fn mix(state: &mut [u32; 16], [a, b, c, d]: [usize; 4], x: u32, y: u32) {
    for (word, [d_turn, b_turn]) in [(x, [16, 12]), (y, [8, 7])] {
        state[a] = state[a].wrapping_add(state[b]).wrapping_add(word);
        state[d] = (state[d] ^ state[a]).rotate_right(d_turn);
        state[c] = state[c].wrapping_add(state[d]);
        state[b] = (state[b] ^ state[c]).rotate_right(b_turn);
    }
}
