// The names of the log events. docs/operations.md lists each name and how to react to it. A test checks that
// both lists are the same and that other files use these constants instead of literals.
#pragma once

#include <string_view>

namespace lb::sidecar::log_events {

// The process and its configuration.
inline constexpr std::string_view kListening = "listening";
inline constexpr std::string_view kAdminListening = "admin_listening";
inline constexpr std::string_view kStartFailed = "start_failed";
inline constexpr std::string_view kConfigurationReloaded = "configuration_reloaded";
inline constexpr std::string_view kConfigurationRejected = "configuration_rejected";
inline constexpr std::string_view kUnexpectedException = "unexpected_exception";
inline constexpr std::string_view kLogLinesDropped = "log_lines_dropped";

// Clients and upstreams.
inline constexpr std::string_view kAcceptFailed = "accept_failed";
inline constexpr std::string_view kAcceptBacklogAbandoned = "accept_backlog_abandoned";
inline constexpr std::string_view kAttemptFailed = "attempt_failed";
inline constexpr std::string_view kResponseHeadForwarded = "response_head_forwarded";
inline constexpr std::string_view kRequestIdRepeated = "request_id_repeated";
inline constexpr std::string_view kRequestIdsFull = "request_ids_full";
inline constexpr std::string_view kRequestIdsNotShared = "request_ids_not_shared";
inline constexpr std::string_view kUploadTimedOut = "upload_timed_out";
inline constexpr std::string_view kMessageMemoryExhausted = "message_memory_exhausted";

// Discovery.
inline constexpr std::string_view kDiscoveryFailed = "discovery_failed";
inline constexpr std::string_view kDiscoverySlow = "discovery_slow";
inline constexpr std::string_view kDiscoveryRecovered = "discovery_recovered";
inline constexpr std::string_view kWallClockDistrusted = "wall_clock_distrusted";

// Operators.
inline constexpr std::string_view kUpstreamDisabled = "upstream_disabled";
inline constexpr std::string_view kUpstreamEnabled = "upstream_enabled";
inline constexpr std::string_view kStateWriteFailed = "operator_state_write_failed";
inline constexpr std::string_view kStateWriteRecovered = "operator_state_write_recovered";
inline constexpr std::string_view kStateReadFailed = "operator_state_read_failed";
inline constexpr std::string_view kStateReadRecovered = "operator_state_read_recovered";
inline constexpr std::string_view kStateFolderVanished = "operator_state_folder_vanished";
inline constexpr std::string_view kStateLost = "operator_state_lost";
inline constexpr std::string_view kStateForeignFile = "operator_state_foreign_file";
inline constexpr std::string_view kStateUnknownOverride = "operator_state_unknown_override";

// Hot restart.
inline constexpr std::string_view kHotRestartPreviousRuns = "hot_restart_previous_runs";
inline constexpr std::string_view kHotRestartNextConnected = "hot_restart_next_connected";
inline constexpr std::string_view kHotRestartNextServes = "hot_restart_next_serves";
inline constexpr std::string_view kHotRestartOnlyProcess = "hot_restart_only_process";
inline constexpr std::string_view kHotRestartListInherited = "hot_restart_list_inherited";
inline constexpr std::string_view kHotRestartListRejected = "hot_restart_list_rejected";
inline constexpr std::string_view kHotRestartUnavailable = "hot_restart_unavailable";
inline constexpr std::string_view kHotRestartInheritFailed = "hot_restart_inherit_failed";
inline constexpr std::string_view kHotRestartOfferFailed = "hot_restart_offer_failed";
inline constexpr std::string_view kHotRestartListenFailed = "hot_restart_listen_failed";
inline constexpr std::string_view kHotRestartListenRecovered = "hot_restart_listen_recovered";

// Events of the decision module. balancer/ must not depend on sidecar/ and has literals of its own; the names
// are repeated here for the comparison with docs/operations.md.
inline constexpr std::string_view kBalancerEvents[] = {"upstream_ejected", "upstream_readmitted",
                                                       "shedding_started", "shedding_stopped"};

}  // namespace lb::sidecar::log_events
