//! Invented deployments to record: one like the deployment of each of the two users, and one that differs from both.

/// A class of requests, with the values that the settings and the simulated clients use.
pub struct Class {
    /// Name of the class in the settings.
    pub name: &'static str,
    /// Fraction of all arriving requests that belong to the class.
    pub share: f64,
    /// Base service time of a request on an idle engine, in milliseconds; a random factor varies it for each request.
    pub work_ms: f64,
    /// Base memory that a request needs on an engine, in MB; a random factor varies it for each request.
    pub memory_mb: u32,
    /// Deadline of a request, in milliseconds after its arrival.
    pub deadline_ms: f64,
    /// Whether requests have a key. The classes with keys are those with `Repeat=token` in the settings.
    pub keyed: bool,
}

/// A deployment: its settings, its engines and its traffic.
pub struct Site {
    /// Name of the recording; the recorded files are named after it.
    pub name: &'static str,
    /// Seed of all randomness in the simulation.
    pub seed: u64,
    /// Settings of the `start` line as `Name=value` pairs, without the instance's own settings (`Me` and `Zone`).
    pub settings: String,
    /// Classes of the requests that clients send.
    pub classes: Vec<Class>,
    /// Zones to which engines and front ends are assigned in turn.
    pub zones: &'static [&'static str],
    /// Machine types to which engines are assigned in turn.
    pub kinds: &'static [&'static str],
    /// Tenants of the requests; empty if the settings define no tenants.
    pub tenants: &'static [&'static str],
    /// Number of engines in the pool.
    pub engines: usize,
    /// Requests that arrive per second, over all front ends.
    pub arrivals_per_s: f64,
    /// Whether service discovery sends updates only to front ends that have subscribed.
    pub subscribes: bool,
}

/// All deployments that are recorded.
pub fn all() -> Vec<Site> {
    vec![counter_service(), order_book(), overcommitted_archive()]
}

fn counter_service() -> Site {
    Site {
        name: "counter-service",
        seed: 41,
        settings: "Azs=room-a,room-b Balancers=2 Classes.count=3 \
            Classes.0.Name=lookup Classes.0.AimStretch=1.5 Classes.0.HardLimit=2000.0 Classes.0.OnTime=400.0 \
            Classes.0.LateWorth=0.1 Classes.0.Repeat=pure Classes.0.Value=1.0 Classes.0.Window=5000.0 \
            Classes.1.Name=report Classes.1.AimStretch=2.5 Classes.1.HardLimit=12000.0 Classes.1.OnTime=2500.0 \
            Classes.1.LateWorth=0.3 Classes.1.Repeat=pure Classes.1.Value=15.0 Classes.1.Window=5000.0 \
            Classes.2.Name=load Classes.2.AimStretch=3.0 Classes.2.HardLimit=20000.0 Classes.2.OnTime=3000.0 \
            Classes.2.LateWorth=0.6 Classes.2.Repeat=side_effect Classes.2.Value=25.0 Classes.2.Window=5000.0 \
            Contract.AskWithin=10000.0 Contract.DrainGrace=250.0 Contract.Fall=1500.0 Contract.FallMultiple=3.0 \
            Contract.StartCapacity=0.3 Contract.WarmWithin=12000.0 Contract.ExtraRatio=0.2 Contract.MinExtra=5 \
            Contract.RatioSpan=10000.0 Domain.ClassLoad=false,false,true Domain.ClassWaits=false,false,false \
            Domain.CoresByKind=8 Domain.RamOfKindMb=16384.0 Domain.Grants=true Domain.Priorities=true \
            Domain.LargestShare=0.4 Domain.OutOfMemory=line_up Domain.TellsCost=true Domain.TellsEvery=500.0 \
            Domain.ThreadsByClass=1,3,2 Limits.Cancel=true Limits.SendCap=6 Limits.RetryAfter=true \
            Limits.MaxRetryAfter=1000.0 MachineTypes=std-8 MembershipMode=automatic OverShareWorth=0.05 \
            Parties.count=2 Parties.0.Name=east Parties.0.QuotaPerS=40.0 Parties.1.Name=west \
            Parties.1.QuotaPerS=30.0 Report.How=inline"
            .to_owned(),
        classes: vec![
            Class { name: "lookup", share: 0.8, work_ms: 40.0, memory_mb: 40, deadline_ms: 2000.0, keyed: false },
            Class { name: "report", share: 0.15, work_ms: 900.0, memory_mb: 2500, deadline_ms: 12_000.0, keyed: false },
            Class { name: "load", share: 0.05, work_ms: 1200.0, memory_mb: 1200, deadline_ms: 20_000.0, keyed: false },
        ],
        zones: &["room-a", "room-b"],
        kinds: &["std-8"],
        tenants: &["east", "west"],
        engines: 6,
        arrivals_per_s: 80.0,
        subscribes: false,
    }
}

fn order_book() -> Site {
    Site {
        name: "order-book",
        seed: 42,
        settings: "Azs=north,south,west Balancers=2 Classes.count=2 \
            Classes.0.Name=quote Classes.0.AimStretch=1.0 Classes.0.HardLimit=1500.0 Classes.0.OnTime=250.0 \
            Classes.0.LateWorth=0.2 Classes.0.Repeat=pure Classes.0.Value=1.0 \
            Classes.1.Name=booking Classes.1.AimStretch=2.0 Classes.1.HardLimit=8000.0 Classes.1.OnTime=1500.0 \
            Classes.1.LateWorth=0.5 Classes.1.Repeat=token Classes.1.KeyScope=zone Classes.1.Window=2500.0 \
            Classes.1.Value=12.0 Classes.1.ByArrival=true Contract.AskWithin=5000.0 Contract.DrainGrace=200.0 \
            Contract.Fall=1000.0 Contract.FallMultiple=2.5 Contract.StartCapacity=0.25 Contract.WarmWithin=8000.0 \
            Contract.ExtraRatio=0.1 Contract.MinExtra=3 Contract.RatioSpan=8000.0 Contract.TurnGap=300.0 \
            Domain.ClassLoad=false,true Domain.ClassWaits=true,false Domain.CoresByKind=4,16 \
            Domain.RamOfKindMb=8192.0,32768.0 Domain.Grants=true Domain.Priorities=false Domain.LargestShare=0.5 \
            Domain.OutOfMemory=cut Domain.TellsCost=true Domain.TellsEvery=250.0 Domain.ThreadsByClass=1,2 \
            Limits.Cancel=true Limits.SendCap=4 Limits.RetryAfter=false Limits.SecondCopies=true \
            MachineTypes=std-4,std-16 MembershipMode=subscribe OverShareWorth=1.0 Report.How=inline"
            .to_owned(),
        classes: vec![
            Class { name: "quote", share: 0.7, work_ms: 25.0, memory_mb: 60, deadline_ms: 1500.0, keyed: false },
            Class { name: "booking", share: 0.3, work_ms: 220.0, memory_mb: 500, deadline_ms: 8000.0, keyed: true },
        ],
        zones: &["north", "south", "west"],
        kinds: &["std-4", "std-16"],
        tenants: &[],
        engines: 7,
        arrivals_per_s: 90.0,
        subscribes: true,
    }
}

fn overcommitted_archive() -> Site {
    Site {
        name: "overcommitted-archive",
        seed: 43,
        settings: "Azs=hall Balancers=3 Classes.count=3 \
            Classes.0.Name=search Classes.0.HardLimit=4000.0 Classes.0.OnTime=800.0 Classes.0.LateWorth=0.4 \
            Classes.0.Repeat=pure Classes.0.Value=2.0 Classes.0.MachineTypesOpen=small,large \
            Classes.1.Name=scan Classes.1.AimStretch=4.0 Classes.1.HardLimit=15000.0 Classes.1.OnTime=4000.0 \
            Classes.1.LateWorth=0.7 Classes.1.Repeat=token Classes.1.KeyScope=all Classes.1.Window=3000.0 \
            Classes.1.Value=20.0 Classes.1.MachineTypesOpen=large \
            Classes.2.Name=ingest Classes.2.HardLimit=6000.0 Classes.2.OnTime=2000.0 Classes.2.LateWorth=0.0 \
            Classes.2.Repeat=side_effect Classes.2.Value=8.0 Contract.DrainGrace=500.0 Contract.Fall=2000.0 \
            Contract.FallMultiple=4.0 Contract.StartCapacity=0.4 Contract.WarmWithin=10000.0 Contract.MinExtra=4 \
            Contract.RatioSpan=6000.0 Domain.ClassLoad=false,false,true Domain.ClassWaits=true,true,false \
            Domain.CoresByKind=4,32 Domain.RamOfKindMb=4096.0,65536.0 Domain.Grants=false Domain.Priorities=true \
            Domain.OutOfMemory=overcommit Domain.TellsCost=false Domain.TellsEvery=400.0 \
            Domain.ThreadsByClass=2,6,1 Limits.Cancel=true Limits.SendCap=3 Limits.RetryAfter=true \
            Limits.MaxRetryAfter=2000.0 Limits.Probes=true Limits.PeerMessages=true MachineTypes=small,large \
            MembershipMode=subscribe Contract.AskWithin=4000.0 Report.How=on_probe"
            .to_owned(),
        classes: vec![
            Class { name: "search", share: 0.6, work_ms: 120.0, memory_mb: 150, deadline_ms: 4000.0, keyed: false },
            Class { name: "scan", share: 0.25, work_ms: 1500.0, memory_mb: 6000, deadline_ms: 15_000.0, keyed: true },
            Class { name: "ingest", share: 0.15, work_ms: 300.0, memory_mb: 300, deadline_ms: 6000.0, keyed: false },
        ],
        zones: &["hall"],
        kinds: &["small", "large"],
        tenants: &[],
        engines: 10,
        arrivals_per_s: 45.0,
        subscribes: true,
    }
}
