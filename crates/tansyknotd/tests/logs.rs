//! The rate limit and the bounded buffer of log lines.

use std::time::Duration;

use tansyknot_core::clock::BootInstant;

use tansyknotd::logs::{self, LineBuffer, LineKind};

fn admitted(buffer: &mut LineBuffer, kind: LineKind, now: BootInstant, lines: usize) -> usize {
    (0..lines).filter(|_| buffer.admit(kind, now)).count()
}

#[test]
fn lines_beyond_the_rate_are_counted_and_failures_have_a_reserve() {
    let now = BootInstant::now();
    let mut buffer = LineBuffer::new(200, now);
    assert_eq!(admitted(&mut buffer, LineKind::Routine, now, 1000), 100);
    assert_eq!(admitted(&mut buffer, LineKind::Failure, now, 1000), 100);
    assert_eq!(buffer.take().1, 900 + 900);
    let later = now + Duration::from_secs(1);
    assert_eq!(admitted(&mut buffer, LineKind::Routine, later, 3), 3);
    assert_eq!(buffer.take().1, 0);
}

#[test]
fn undrained_buffer_stays_bounded() {
    let mut now = BootInstant::now();
    let mut buffer = LineBuffer::new(200, now);
    for _ in 0..3_600 {
        now = now + Duration::from_secs(1);
        for _ in 0..200 {
            if buffer.admit(LineKind::Failure, now) {
                buffer.add(&[b'x'; 700]);
            }
        }
    }
    assert!(buffer.take().0.len() < (256 << 10) + 701);
}

#[test]
fn buffered_lines_keep_their_order_and_content() {
    let mut buffer = LineBuffer::new(200, BootInstant::now());
    buffer.add(b"one");
    buffer.add(b"two");
    assert_eq!(buffer.take().0, b"one\ntwo\n");
}

#[test]
fn lines_are_split_into_chunks_that_a_pipe_accepts_atomically() {
    let line = |n: usize| [vec![b'x'; n], vec![b'\n']].concat();
    let lines = [line(3_000), line(1_000), line(200), line(9_000), line(10)].concat();
    let chunks: Vec<&[u8]> = logs::pipe_chunks(&lines).collect();
    assert_eq!(chunks.iter().map(|p| p.len()).collect::<Vec<_>>(), [4_002, 201, 9_001, 11]);
    assert_eq!(chunks.concat(), lines);
    assert_eq!(logs::pipe_chunks(b"").count(), 0);
    assert_eq!(logs::pipe_chunks(b"no end").collect::<Vec<_>>(), [b"no end"]);
}
