//! Values of the wire types, made from any bytes.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};

use arbitrary::{Result, Unstructured};
use kumquatquay_wire::{
    BackendLife, BulkAnswer, BulkRequest, ControlBody, Crash, CrashReport, CrashSuspect,
    DataCentreDigest, DataCentreMembers, Datagram, Importance, MemberRecord, MemberState,
    MemberStatus, QuarantineRecord, Rumour, ServiceLevel,
};

/// Elements of a collection, at most.
const COUNT: usize = 6;

pub(crate) fn datagram(bytes: &mut Unstructured<'_>) -> Result<Datagram> {
    Ok(Datagram {
        sender: address(bytes)?,
        incarnation: bytes.arbitrary()?,
        sequence: bytes.arbitrary()?,
        body: body(bytes)?,
        rumours: several(bytes, rumour)?,
    })
}

pub(crate) fn question(bytes: &mut Unstructured<'_>) -> Result<BulkRequest> {
    Ok(match bytes.int_in_range(0..=2)? {
        0 => BulkRequest::Members {
            known: several(bytes, digest)?,
        },
        1 => BulkRequest::Crashes,
        _ => BulkRequest::Configuration {
            payload: bytes.arbitrary()?,
        },
    })
}

pub(crate) fn answer(bytes: &mut Unstructured<'_>) -> Result<BulkAnswer> {
    Ok(match bytes.int_in_range(0..=2)? {
        0 => BulkAnswer::Members {
            data_centres: several(bytes, members)?,
        },
        1 => BulkAnswer::Crashes {
            reports: several(bytes, report)?,
            is_complete: bytes.arbitrary()?,
        },
        _ => BulkAnswer::Configuration {
            payload: bytes.arbitrary()?,
        },
    })
}

fn several<T>(
    bytes: &mut Unstructured<'_>,
    make: impl Fn(&mut Unstructured<'_>) -> Result<T>,
) -> Result<Vec<T>> {
    let count = bytes.int_in_range(0..=COUNT)?;
    (0..count).map(|_| make(bytes)).collect()
}

fn address(bytes: &mut Unstructured<'_>) -> Result<SocketAddr> {
    let port: u16 = bytes.arbitrary()?;
    Ok(if bytes.arbitrary()? {
        SocketAddr::from((Ipv4Addr::from(bytes.arbitrary::<u32>()?), port))
    } else {
        SocketAddr::from((Ipv6Addr::from(bytes.arbitrary::<u128>()?), port))
    })
}

fn body(bytes: &mut Unstructured<'_>) -> Result<ControlBody> {
    Ok(match bytes.int_in_range(0..=4)? {
        0 => ControlBody::Ping {
            probe: bytes.arbitrary()?,
            digest: bytes.arbitrary()?,
        },
        1 => ControlBody::Ack {
            probe: bytes.arbitrary()?,
        },
        2 => ControlBody::IndirectPing {
            probe: bytes.arbitrary()?,
            target: address(bytes)?,
        },
        3 => ControlBody::Digest {
            data_centre: bytes.arbitrary()?,
            digest: bytes.arbitrary()?,
        },
        _ => ControlBody::Gossip,
    })
}

fn rumour(bytes: &mut Unstructured<'_>) -> Result<Rumour> {
    Ok(match bytes.int_in_range(0..=5)? {
        0 => record(bytes)?.into(),
        1 => Rumour::Status(MemberStatus {
            control: address(bytes)?,
            incarnation: bytes.arbitrary()?,
            revision: bytes.arbitrary()?,
            is_gone: bytes.arbitrary()?,
        }),
        2 => Rumour::Level(ServiceLevel {
            service: bytes.arbitrary()?,
            data_centre: bytes.arbitrary()?,
            least_admitted: Importance::from_number(bytes.arbitrary()?),
            age_ms: bytes.arbitrary()?,
        }),
        3 => Rumour::Quarantine(QuarantineRecord {
            fingerprint: bytes.arbitrary()?,
            crashes: several(bytes, crash)?,
            ran_at: bytes.arbitrary()?,
            remaining_ms: bytes.arbitrary()?,
        }),
        4 => Rumour::Crash(report(bytes)?),
        _ => Rumour::Configuration(bytes.arbitrary()?),
    })
}

fn crash(bytes: &mut Unstructured<'_>) -> Result<Crash> {
    Ok(Crash {
        id: bytes.arbitrary()?,
        service: bytes.arbitrary()?,
        score_milli: bytes.arbitrary()?,
        is_cleared: bytes.arbitrary()?,
    })
}

fn report(bytes: &mut Unstructured<'_>) -> Result<CrashReport> {
    let suspect = |bytes: &mut Unstructured<'_>| {
        Ok(CrashSuspect {
            fingerprint: bytes.arbitrary()?,
            score_milli: bytes.arbitrary()?,
            ran_at: bytes.arbitrary()?,
        })
    };
    Ok(CrashReport {
        id: bytes.arbitrary()?,
        service: bytes.arbitrary()?,
        suspects: several(bytes, suspect)?,
        remaining_ms: bytes.arbitrary()?,
    })
}

fn life(bytes: &mut Unstructured<'_>) -> Result<Option<BackendLife>> {
    let instance: Option<String> = bytes.arbitrary()?;
    let born_unix_ms = bytes.arbitrary()?;
    Ok(instance.map(|instance| BackendLife {
        instance,
        born_unix_ms,
    }))
}

fn record(bytes: &mut Unstructured<'_>) -> Result<MemberRecord> {
    let states = [
        MemberState::Idle,
        MemberState::Warming,
        MemberState::Serving,
        MemberState::Draining,
        MemberState::Gone,
    ];
    Ok(MemberRecord {
        control: address(bytes)?,
        peer: address(bytes)?,
        data_centre: bytes.arbitrary()?,
        service: bytes.arbitrary()?,
        life: life(bytes)?,
        incarnation: bytes.arbitrary()?,
        revision: bytes.arbitrary()?,
        state: *bytes.choose(&states)?,
        is_suspect: bytes.arbitrary()?,
        slots_count: bytes.arbitrary()?,
    })
}

fn digest(bytes: &mut Unstructured<'_>) -> Result<DataCentreDigest> {
    Ok(DataCentreDigest {
        data_centre: bytes.arbitrary()?,
        digest: bytes.arbitrary()?,
    })
}

fn members(bytes: &mut Unstructured<'_>) -> Result<DataCentreMembers> {
    Ok(DataCentreMembers {
        data_centre: bytes.arbitrary()?,
        is_complete: bytes.arbitrary()?,
        records: several(bytes, record)?,
    })
}
