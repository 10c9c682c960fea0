#include "gateway/gateway_metrics.h"

#include "cassiashed/balancing/length_bucket.h"
#include <cmath>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>
#include <sstream>

namespace cassiashed::gateway {
namespace {

/// prometheus-cpp keeps every label set until the process ends, so only the
/// first workspaces and routes get their own labels.
constexpr std::size_t MaxWorkspaces = 20;
constexpr std::size_t MaxRoutes = 20;

/// Returns `Name` if it is among the first `MaxNames` names, else `other`.
std::string boundedLabel(std::set<std::string> &Known, std::string_view Name,
                         std::size_t MaxNames) {
  std::string Label(Name);
  if (Known.count(Label) != 0 || Known.size() < MaxNames) {
    Known.insert(Label);
    return Label;
  }
  return "other";
}

const prometheus::Histogram::BucketBoundaries FirstByteMs = {
    10, 25, 50, 100, 150, 200, 300, 500, 1000, 1500, 3000, 6000, 15000};
const prometheus::Histogram::BucketBoundaries UpdateAgeMs = {
    50, 100, 200, 500, 1000, 1500, 2000, 3000, 5000, 10000, 20000};
const prometheus::Histogram::BucketBoundaries ErrorRatios = {
    0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2};

class Metrics final : public GatewayMetrics {
public:
  void countOutcome(std::string_view Kind, std::string_view Outcome) override {
    Outcomes_
        .Add({{"kind", std::string(Kind)}, {"outcome", std::string(Outcome)}})
        .Increment();
  }
  void countPrompt(std::string_view Route, double PromptTokens,
                   std::string_view Outcome) override {
    const double From =
        balancing::lengthBucketStart(balancing::lengthBucketOf(PromptTokens));
    Prompts_
        .Add({{"route", boundedLabel(Routes_, Route, MaxRoutes)},
              {"from_tokens", std::to_string(static_cast<int>(From))},
              {"outcome", std::string(Outcome)}})
        .Increment();
  }
  void countAttempt(std::string_view Result) override {
    Attempts_.Add({{"result", std::string(Result)}}).Increment();
  }
  void countConnectionEnd(std::string_view End, bool Unread) override {
    ConnectionEnds_
        .Add({{"end", std::string(End)}, {"unread", Unread ? "yes" : "no"}})
        .Increment();
  }
  void observeFirstByte(std::string_view Kind, std::string_view Workspace,
                        Duration Delay) override {
    FirstBytes_
        .Add({{"kind", std::string(Kind)},
              {"workspace",
               boundedLabel(Workspaces_, Workspace, MaxWorkspaces)}},
             FirstByteMs)
        .Observe(static_cast<double>(Delay.count()));
  }
  void observePrediction(double PredictedMs, double ActualMs) override {
    if (ActualMs > 0)
      PredictionErrors_.Observe(std::abs(PredictedMs - ActualMs) / ActualMs);
  }
  void observeUpdateAge(Duration Age) override {
    UpdateAges_.Observe(static_cast<double>(Age.count()));
  }
  void setGauge(std::string_view Name, double Value) override {
    const auto Found = Gauges_.find(Name);
    if (Found != Gauges_.end()) {
      Found->second->Set(Value);
      return;
    }
    prometheus::Gauge &Gauge = prometheus::BuildGauge()
                                   .Name("cassiashed_" + std::string(Name))
                                   .Help("State of the gateway")
                                   .Register(Registry_)
                                   .Add({});
    Gauges_.emplace(std::string(Name), &Gauge);
    Gauge.Set(Value);
  }
  std::string format() const override {
    std::ostringstream Out;
    prometheus::TextSerializer().Serialize(Out, Registry_.Collect());
    return Out.str();
  }

private:
  prometheus::Registry Registry_;
  prometheus::Family<prometheus::Counter> &Outcomes_ =
      prometheus::BuildCounter()
          .Name("cassiashed_requests_total")
          .Help("Requests by kind and outcome")
          .Register(Registry_);
  prometheus::Family<prometheus::Counter> &Prompts_ =
      prometheus::BuildCounter()
          .Name("cassiashed_prompts_total")
          .Help("Requests of model services by route, size of the prompt and "
                "outcome")
          .Register(Registry_);
  prometheus::Family<prometheus::Counter> &Attempts_ =
      prometheus::BuildCounter()
          .Name("cassiashed_attempts_total")
          .Help("Attempts at endpoints by result")
          .Register(Registry_);
  prometheus::Family<prometheus::Counter> &ConnectionEnds_ =
      prometheus::BuildCounter()
          .Name("cassiashed_caller_connections_ended_total")
          .Help(
              "Connections of callers that ended, by cause, and whether bytes "
              "of the caller were not read")
          .Register(Registry_);
  prometheus::Family<prometheus::Histogram> &FirstBytes_ =
      prometheus::BuildHistogram()
          .Name("cassiashed_first_byte_milliseconds")
          .Help("From the arrival of a request to the first byte or event")
          .Register(Registry_);
  prometheus::Histogram &PredictionErrors_ =
      prometheus::BuildHistogram()
          .Name("cassiashed_first_token_prediction_error_ratio")
          .Help("Relative error of the predicted time to the first token")
          .Register(Registry_)
          .Add({}, ErrorRatios);
  prometheus::Histogram &UpdateAges_ =
      prometheus::BuildHistogram()
          .Name("cassiashed_endpoint_news_age_milliseconds")
          .Help("Age of the copy of the endpoints' table when news arrived")
          .Register(Registry_)
          .Add({}, UpdateAgeMs);
  std::map<std::string, prometheus::Gauge *, std::less<>> Gauges_;
  std::set<std::string> Workspaces_;
  std::set<std::string> Routes_;
};

} // namespace

std::unique_ptr<GatewayMetrics> makeGatewayMetrics() {
  return std::make_unique<Metrics>();
}

} // namespace cassiashed::gateway
