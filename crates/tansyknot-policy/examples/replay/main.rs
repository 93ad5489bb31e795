//! Replays an arrival trace through the daemon's decision functions in virtual time.
//!
//! `cargo run --release --example replay -- --trace FILE.csv --policy tansyknot`

mod policy;
mod report;
mod simulation;
mod trace;

use std::path::PathBuf;

use clap::{Parser, ValueEnum};

use crate::{
    policy::Policy,
    simulation::{Simulation, SimulationOptions},
};

/// The cost that the operators weigh more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Weight {
    /// The tail latency of cold starts.
    Cold,
    /// Idle accelerator hours.
    Idle,
}

#[derive(Parser)]
struct Args {
    /// CSV file of the trace: at_ms,caller,service,adapter,prompt_tokens,output_tokens,class,deadline_ms.
    #[arg(long, required_unless_present = "list")]
    trace: Option<PathBuf>,
    /// Name of a policy to replay; may be repeated.
    #[arg(long)]
    policy: Vec<String>,
    /// Print the names of the policies and exit.
    #[arg(long)]
    list: bool,
    /// Number of hosts.
    #[arg(long, default_value_t = 10)]
    hosts: usize,
    /// Memory for models of each host, in GB.
    #[arg(long, default_value_t = 80)]
    memory_gb: u64,
    /// Memory of each model, in GB.
    #[arg(long, default_value_t = 16)]
    model_gb: u64,
    /// Loads that the weight store starts per second.
    #[arg(long, default_value_t = 3.0)]
    loads_per_s: f64,
    /// Seed of the random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The cost that the operators weigh more.
    #[arg(long, value_enum, default_value_t = Weight::Cold)]
    weight: Weight,
    /// Maximum number of replicas of a model.
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
        let options = SimulationOptions {
            hosts: args.hosts,
            memory_bytes: args.memory_gb * 1_000_000_000,
            model_bytes: args.model_gb * 1_000_000_000,
            loads_per_s: args.loads_per_s,
            seed: args.seed,
            weight: args.weight,
            replicas: args.replicas,
        };
        let report = Simulation::new(&requests, policy, options).run(&name);
        println!("{}", serde_json::to_string(&report).expect("the report serializes"));
    }
    Ok(())
}
