//! The stand-in of the platform's log does what its faults say.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

use kumquatquay_standins::{LogFault, PlatformLog, RunningLog};
use serde_json::Value;
use support::{Answer, send};

const STREAM: &str = "/streams/claims/records";

async fn append(log: &RunningLog, record: &str) -> Option<Answer> {
    send(log.address(), "POST", STREAM, &[], record).await
}

async fn read(log: &RunningLog, query: &str) -> Value {
    let path = format!("{STREAM}?{query}");
    let answer = send(log.address(), "GET", &path, &[], "").await.unwrap();
    serde_json::from_slice(&answer.body).unwrap()
}

fn clock_at(seconds: &Arc<AtomicU64>) -> impl Fn() -> SystemTime + Send + Sync + 'static {
    let seconds = seconds.clone();
    move || SystemTime::UNIX_EPOCH + Duration::from_secs(seconds.load(Ordering::SeqCst))
}

#[tokio::test]
async fn records_have_offsets_in_the_order_of_appends() {
    let log = PlatformLog::new().start().await.unwrap();
    assert_eq!(append(&log, "a").await.unwrap().body, r#"{"offset":0}"#);
    assert_eq!(append(&log, "b").await.unwrap().body, r#"{"offset":1}"#);
    let page = read(&log, "from=1").await;
    assert_eq!(page["oldest_offset"], 0);
    assert_eq!(page["next_offset"], 2);
    assert_eq!(page["records"][0]["offset"], 1);
    assert_eq!(page["records"][0]["bytes"], "Yg");
}

#[tokio::test]
async fn a_waiting_read_ends_with_the_append() {
    let log = PlatformLog::new().start().await.unwrap();
    let (page, appended) = tokio::join!(read(&log, "from=0&wait_ms=20000"), append(&log, "a"));
    assert!(appended.is_some());
    assert_eq!(page["records"][0]["bytes"], "YQ");
}

#[tokio::test]
async fn a_read_from_an_expired_offset_tells_the_oldest() {
    let seconds = Arc::new(AtomicU64::new(1000));
    let settings = PlatformLog::new().retention(Duration::from_secs(60));
    let log = settings.clock(clock_at(&seconds)).start().await.unwrap();
    append(&log, "old").await.unwrap();
    seconds.store(1100, Ordering::SeqCst);
    append(&log, "new").await.unwrap();
    let page = read(&log, "from=0").await;
    assert_eq!(page["oldest_offset"], 1);
    assert_eq!(page["records"][0]["offset"], 1);
    assert_eq!(page["records"].as_array().unwrap().len(), 1);
}

#[tokio::test]
async fn appends_beyond_the_rate_are_refused_and_leave_no_record() {
    let seconds = Arc::new(AtomicU64::new(1000));
    let settings = PlatformLog::new().appends_per_s(4);
    let log = settings.clock(clock_at(&seconds)).start().await.unwrap();
    let mut taken = 0;
    for _ in 0..10 {
        taken += u64::from(append(&log, "x").await.unwrap().status == 201);
    }
    assert_eq!(taken, 2);
    assert_eq!(log.appends_count(), taken);
    seconds.store(1001, Ordering::SeqCst);
    assert_eq!(append(&log, "y").await.unwrap().status, 201);
}

/// One fault: whether the append is answered, and whether it took effect.
macro_rules! faults {
    ($($name:ident: $fault:expr => $status:expr, $appended:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let log = PlatformLog::new().start().await.unwrap();
            log.set_fault($fault);
            let answer = append(&log, "x").await;
            let status: Option<u16> = $status;
            assert_eq!(answer.map(|answer| answer.status.as_u16()), status);
            assert_eq!(log.appends_count(), $appended);
            assert_eq!(log.records("claims").len() as u64, $appended);
            log.set_fault(LogFault::None);
            assert_eq!(append(&log, "y").await.unwrap().status, 201);
        }
    )*};
}

faults! {
    no_fault: LogFault::None => Some(201), 1;
    refusing: LogFault::Refusing => Some(503), 0;
    down: LogFault::Down => None, 0;
    slow: LogFault::Slow(Duration::from_millis(5)) => Some(201), 1;
    answer_lost_after_append: LogFault::AnswerLostAfterAppend => None, 1;
    answer_lost_before_append: LogFault::AnswerLostBeforeAppend => None, 0;
}

#[tokio::test]
async fn a_log_that_comes_back_from_a_copy_gives_offsets_out_again() {
    let log = PlatformLog::new().start().await.unwrap();
    append(&log, "a").await.unwrap();
    let copy = log.copy();
    append(&log, "lost").await.unwrap();
    assert_eq!(read(&log, "from=0").await["era"], 1);
    log.come_back_from(copy);
    assert_eq!(append(&log, "b").await.unwrap().body, r#"{"offset":1}"#);
    let page = read(&log, "from=1").await;
    assert_eq!(page["era"], 2);
    assert_eq!(page["records"][0]["bytes"], "Yg");
}
