//! The bound on log lines.

use std::time::Duration;

use tansyknot_core::clock::BootInstant;

use tansyknotd::logs::{self, Kind, LineBuffer};

fn admitted(buffer: &mut LineBuffer, kind: Kind, now: BootInstant, lines: usize) -> usize {
    (0..lines).filter(|_| buffer.admit(kind, now)).count()
}

#[test]
fn lines_beyond_the_rate_are_counted_and_failures_go_first() {
    let now = BootInstant::now();
    let mut buffer = LineBuffer::new(200, now);
    assert_eq!(admitted(&mut buffer, Kind::Lesser, now, 1000), 100);
    assert_eq!(admitted(&mut buffer, Kind::Failure, now, 1000), 100);
    assert_eq!(buffer.take().1, 900 + 900);
    let later = now + Duration::from_secs(1);
    assert_eq!(admitted(&mut buffer, Kind::Lesser, later, 3), 3);
    assert_eq!(buffer.take().1, 0);
}

#[test]
fn buffer_that_nobody_empties_stays_bounded() {
    let mut now = BootInstant::now();
    let mut buffer = LineBuffer::new(200, now);
    for _ in 0..3_600 {
        now = now + Duration::from_secs(1);
        for _ in 0..200 {
            if buffer.admit(Kind::Failure, now) {
                buffer.add(&[b'x'; 700]);
            }
        }
    }
    assert!(buffer.take().0.len() < (256 << 10) + 701);
}

#[test]
fn lines_come_out_as_they_went_in() {
    let mut buffer = LineBuffer::new(200, BootInstant::now());
    buffer.add(b"one");
    buffer.add(b"two");
    assert_eq!(buffer.take().0, b"one\ntwo\n");
}

#[test]
fn lines_are_written_in_parts_that_a_pipe_takes_whole() {
    let line = |n: usize| [vec![b'x'; n], vec![b'\n']].concat();
    let lines = [line(3_000), line(1_000), line(200), line(9_000), line(10)].concat();
    let parts: Vec<&[u8]> = logs::parts(&lines).collect();
    assert_eq!(parts.iter().map(|p| p.len()).collect::<Vec<_>>(), [4_002, 201, 9_001, 11]);
    assert_eq!(parts.concat(), lines);
    assert_eq!(logs::parts(b"").count(), 0);
    assert_eq!(logs::parts(b"no end").collect::<Vec<_>>(), [b"no end"]);
}
