//! Replays an arrival trace through the daemon's decisions in virtual time.
//!
//! `cargo run --release --example replay -- --trace FILE.csv --policy tansyknot`

mod policy;
mod report;
mod trace;
mod world;

use std::path::PathBuf;

use clap::{Parser, ValueEnum};

use crate::{
    policy::Policy,
    world::{World, WorldOptions},
};

/// What the operators weigh more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Weight {
    /// Short cold-start tails.
    Cold,
    /// Few idle accelerator hours.
    Idle,
}

#[derive(Parser)]
struct Args {
    /// The trace: at_ms,caller,service,adapter,prompt_tokens,output_tokens,class,deadline_ms.
    #[arg(long, required_unless_present = "list")]
    trace: Option<PathBuf>,
    /// A policy; may be given several times.
    #[arg(long)]
    policy: Vec<String>,
    /// Name the policies and exit.
    #[arg(long)]
    list: bool,
    /// Hosts.
    #[arg(long, default_value_t = 10)]
    hosts: usize,
    /// Memory of a host for models, in GB.
    #[arg(long, default_value_t = 80)]
    memory_gb: u64,
    /// Memory of a model, in GB.
    #[arg(long, default_value_t = 16)]
    model_gb: u64,
    /// Loads that the weight store starts in a second.
    #[arg(long, default_value_t = 3.0)]
    loads_per_s: f64,
    /// The seed of random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// What the operators weigh more.
    #[arg(long, value_enum, default_value_t = Weight::Cold)]
    weight: Weight,
    /// Replicas of a model at most.
    #[arg(long, default_value_t = 2)]
    replicas: u32,
}

fn main() -> miette::Result<()> {
    let args = Args::parse();
    if args.list {
        Policy::NAMES.iter().for_each(|name| println!("{name}"));
        return Ok(());
    }
    let Some(file) = &args.trace else { return Ok(()) };
    let requests = trace::read(file)?;
    let names = if args.policy.is_empty() { vec!["tansyknot".to_owned()] } else { args.policy };
    for name in names {
        let policy = Policy::by_name(&name)?;
        let options = WorldOptions {
            hosts: args.hosts,
            memory_bytes: args.memory_gb * 1_000_000_000,
            model_bytes: args.model_gb * 1_000_000_000,
            loads_per_s: args.loads_per_s,
            seed: args.seed,
            weight: args.weight,
            replicas: args.replicas,
        };
        let report = World::new(&requests, policy, options).run(&name);
        println!("{}", serde_json::to_string(&report).expect("the report serializes"));
    }
    Ok(())
}
