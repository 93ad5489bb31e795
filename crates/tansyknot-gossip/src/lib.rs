//! Membership and demand messages between daemons over UDP.
