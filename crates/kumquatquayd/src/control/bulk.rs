//! Bulk exchanges over TCP: one question and one answer a connection.
//!
//! A frame is its length as four bytes, little endian, and then a sealed
//! [`Frame`]. The answer repeats the question's number, so that a recorded
//! answer can't be played back to another question.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::ensure;
use kumquatquay_core::{BulkInput, Counter};
use kumquatquay_wire::MeshKey;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

use crate::{engine::Engine, reach::Reach, tasks::Tasks};

/// The longest frame, in bytes.
const FRAME_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// The longest question, in bytes; a stranger can't make a node hold more.
const QUESTION_LIMIT_BYTES: usize = 64 * 1024;

/// How long one exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Exchanges that are served at the same time.
const EXCHANGES_LIMIT_COUNT: usize = 32;

const QUESTION_PURPOSE: &str = "bulk question";
const ANSWER_PURPOSE: &str = "bulk answer";

#[derive(Debug, Serialize, Deserialize)]
struct Frame {
    number: u64,
    bytes: Vec<u8>,
}

/// Serves bulk questions until the task is dropped.
pub(crate) async fn serve(engine: Arc<Engine>, tasks: Tasks, listener: TcpListener, key: MeshKey) {
    let limit = Arc::new(Semaphore::new(EXCHANGES_LIMIT_COUNT));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&limit).try_acquire_owned() else {
            continue;
        };
        let engine = Arc::clone(&engine);
        let key = key.clone();
        tasks.spawn(async move {
            let exchange = answer_one(&engine, stream, &key);
            let ended = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await;
            let ended = ended.unwrap_or_else(|_| Err(eyre::eyre!("the sender was too slow")));
            if let Err(error) = ended {
                engine.count(Counter::BulkQuestionsRefused);
                log::debug!(event = "bulk_refused", from:% = from; "{error}");
            }
            drop(permit);
        });
    }
}

async fn answer_one(engine: &Engine, mut stream: TcpStream, key: &MeshKey) -> eyre::Result<()> {
    let sealed = read_frame(&mut stream, QUESTION_LIMIT_BYTES).await?;
    let question: Frame = key.open(QUESTION_PURPOSE, &sealed)?;
    let (exchange, receiver) = engine.begin_exchange();
    engine.handle(BulkInput::Asked {
        exchange,
        question: question.bytes,
    });
    let answer = Frame {
        number: question.number,
        bytes: receiver.await?,
    };
    write_frame(&mut stream, &key.seal(ANSWER_PURPOSE, &answer)).await
}

/// A bulk exchange with another node.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) key: MeshKey,
    pub(crate) reach: Reach,
    /// Control address of the other node.
    pub(crate) to: SocketAddr,
}

impl Ask {
    /// Asks the other node and tells the core what came of it.
    pub(crate) async fn run(self, engine: Arc<Engine>, question: Vec<u8>) {
        let from = self.to;
        let exchange = self.exchange(question);
        let input = match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
            Ok(Ok(answer)) => BulkInput::Answered { from, answer },
            Ok(Err(_)) | Err(_) => BulkInput::Failed { from },
        };
        engine.handle(input);
    }

    async fn exchange(&self, bytes: Vec<u8>) -> eyre::Result<Vec<u8>> {
        self.reach.wait_for(self.to).await;
        let mut stream = TcpStream::connect(self.to).await?;
        let question = Frame {
            number: rand::rng().random(),
            bytes,
        };
        write_frame(&mut stream, &self.key.seal(QUESTION_PURPOSE, &question)).await?;
        let sealed = read_frame(&mut stream, FRAME_LIMIT_BYTES).await?;
        let answer: Frame = self.key.open(ANSWER_PURPOSE, &sealed)?;
        ensure!(
            answer.number == question.number,
            "the answer is to another question"
        );
        Ok(answer.bytes)
    }
}

async fn read_frame(stream: &mut TcpStream, limit_bytes: usize) -> eyre::Result<Vec<u8>> {
    let length = stream.read_u32_le().await? as usize;
    ensure!(
        length <= limit_bytes,
        "a frame of {length} bytes is over the limit"
    );
    let mut frame = Vec::new();
    let read = stream.take(length as u64).read_to_end(&mut frame).await?;
    ensure!(
        read == length,
        "a frame of {length} bytes was cut short at {read}"
    );
    Ok(frame)
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> eyre::Result<()> {
    ensure!(
        frame.len() <= FRAME_LIMIT_BYTES,
        "a frame of {} bytes is over the limit",
        frame.len()
    );
    stream.write_u32_le(frame.len() as u32).await?;
    stream.write_all(frame).await?;
    stream.flush().await?;
    Ok(())
}
