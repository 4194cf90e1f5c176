#include "src/cli/text_table.h"

#include <algorithm>
#include <utility>

namespace vanillalatch {
namespace {

constexpr std::size_t kColumnGap = 2;

}  // namespace

TextTable::TextTable(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void TextTable::Add(std::vector<std::string> row) {
  rows_.push_back(std::move(row));
}

void TextTable::Print(std::ostream& out) const {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows_) {
    std::string line = "  ";
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line.append(widths[i] - row[i].size() + kColumnGap, ' ');
      }
    }
    out << line << "\n";
  }
}

}  // namespace vanillalatch
