#include "bench/report.h"

#include <cmath>
#include <utility>

#include <fmt/format.h>
#include <boost/json.hpp>

#include "src/random.h"
#include "src/rendezvous.h"

namespace burdockhatch::bench {

namespace {

bool Kept(const Figure& figure) {
  if (!figure.bound) {
    return true;
  }
  return figure.bound->sense == Sense::kAtMost
             ? figure.value <= figure.bound->value
             : figure.value >= figure.bound->value;
}

std::string BoundText(const Figure& figure) {
  if (!figure.bound) {
    return "";
  }
  const char* sign = figure.bound->sense == Sense::kAtMost ? "<=" : ">=";
  return fmt::format("{} {:g} {}", sign, figure.bound->value,
                     Kept(figure) ? "kept" : "BROKEN");
}

}  // namespace

void Report::Add(Figure figure) {
  figures_.push_back(std::move(figure));
}

void Report::Note(std::string experiment,
                  std::string name,
                  std::string unit,
                  double value) {
  Add({std::move(experiment), std::move(name), std::move(unit), value,
       std::nullopt, true});
}

void Report::Check(std::string experiment,
                   std::string name,
                   std::string unit,
                   double value,
                   Bound bound) {
  Add({std::move(experiment), std::move(name), std::move(unit), value, bound,
       true});
}

void Report::PrintTable() const {
  std::string experiment;
  for (const Figure& it : figures_) {
    if (it.experiment != experiment) {
      experiment = it.experiment;
      fmt::print("\n{}\n", experiment);
    }
    fmt::print("  {:<52} {:>12.4g} {:<10} {}\n", it.name, it.value, it.unit,
               BoundText(it));
  }
}

void Report::PrintJson() const {
  boost::json::array rows;
  for (const Figure& it : figures_) {
    boost::json::object row{{"experiment", it.experiment},
                            {"name", it.name},
                            {"unit", it.unit},
                            {"value", it.value}};
    if (it.bound) {
      row["bound"] = it.bound->value;
      row["sense"] = it.bound->sense == Sense::kAtMost ? "at_most" : "at_least";
      row["kept"] = Kept(it);
    }
    rows.push_back(std::move(row));
  }
  boost::json::object document{
      {"figures", std::move(rows)},
      {"signature", fmt::format("{:016x}", Signature())}};
  fmt::print("{}\n", boost::json::serialize(document));
}

int Report::Broken() const {
  int broken = 0;
  for (const Figure& it : figures_) {
    broken += Kept(it) ? 0 : 1;
  }
  return broken;
}

uint64_t Report::Signature() const {
  uint64_t signature = 0;
  for (const Figure& it : figures_) {
    if (it.deterministic) {
      const std::string text =
          fmt::format("{}/{}={:.6g}", it.experiment, it.name, it.value);
      signature = MixHash(signature, StableHash(text));
    }
  }
  return signature;
}

}  // namespace burdockhatch::bench
